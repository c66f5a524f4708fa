#include "savory/core/billing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace savory;

namespace {

BillStep
MakeStep(int aRequest, int aStep = 0, int aAttempt = 0)
{
  return { .mId = { "r" + std::to_string(aRequest), aStep, aAttempt },
           .mCustomer = "c" + std::to_string(aRequest % 3),
           .mService = "savory-llm",
           .mVersion = "v1",
           .mAgent = "agent-1",
           .mInputTokens = 10,
           .mOutputTokens = 5,
           .mCost = 100 };
}

// Collects the batches written to the store and the settled steps.
struct Sink
{
  std::vector<BillBatch> mStore;
  std::vector<StepId> mSettled;
  std::vector<WriteBills> mWrites;

  void Apply(const BillingActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* write = std::get_if<WriteBills>(&action)) {
        mWrites.push_back(*write);
        mStore.push_back(*ParseBillBatch(write->mValue));
      } else {
        const auto& steps = std::get<SendSettled>(action).mSteps;
        mSettled.insert(mSettled.end(), steps.begin(), steps.end());
      }
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(billing)

// Guards against a step that is lost when the entry fails before writing it,
// and against a step that is billed twice because the agent's copy is written
// too.
BOOST_AUTO_TEST_CASE(agent_writes_the_steps_that_the_entry_did_not)
{
  Billing entry = MakeBilling("entry-1", {});
  Billing agent = MakeBilling("agent-1", { .mHoldMs = 10000 });
  Sink sink;
  for (int i = 0; i < 10; ++i) {
    AddStep(agent, MakeStep(i), 0);
    if (i < 6) {
      // The entry failed before it added the other four.
      AddStep(entry, MakeStep(i), 0);
    }
  }
  sink.Apply(TickBilling(entry, 1000));
  sink.Apply(OnBillsAnswer(entry, 1, true, 1010));
  BOOST_TEST(sink.mSettled.size() == 6u);
  // The acknowledgement of one step is lost; its copy is written again.
  sink.mSettled.pop_back();
  OnStepsSettled(agent, sink.mSettled);
  sink.Apply(TickBilling(agent, 9999));
  BOOST_TEST(sink.mStore.size() == 1u);
  sink.Apply(TickBilling(agent, 10000));
  sink.Apply(OnBillsAnswer(agent, 1, true, 10010));
  BOOST_TEST(sink.mStore.size() == 2u);
  BOOST_TEST(UnwrittenSteps(agent) == 0u);
  Settlement settlement;
  std::size_t rows = 0;
  for (const auto& batch : sink.mStore) {
    Settle(settlement, batch);
    rows += batch.mSteps.size();
  }
  // Eleven rows belong to ten steps: a sum of all rows would bill one twice.
  BOOST_TEST(rows == 11u);
  Micros sum = 0;
  for (const auto& [customer, total] : TotalsByCustomer(settlement)) {
    sum += total.mCost;
  }
  BOOST_TEST(sum == 1000);
}

// Guards against a value that changes when it is written again after a lost
// answer, and against unbounded memory during an outage of the store.
BOOST_AUTO_TEST_CASE(store_outage_repeats_the_same_value_within_the_bound)
{
  Billing entry = MakeBilling("entry-1", { .mMaxUnwritten = 100 });
  Sink sink;
  TimeMs now = 0;
  int accepted = 0;
  for (int i = 0; i < 500; ++i) {
    now += 100;
    if (CanBill(entry, 0)) {
      ++accepted;
      AddStep(entry, MakeStep(i), now);
    }
    auto actions = TickBilling(entry, now);
    sink.Apply(actions);
    if (!actions.empty()) {
      OnBillsAnswer(entry, 1, false, now);
    }
  }
  BOOST_TEST(accepted == 100);
  BOOST_TEST(sink.mWrites.size() > 10u);
  for (const auto& write : sink.mWrites) {
    BOOST_TEST(write.mSequence == 1);
    BOOST_TEST((write.mValue == sink.mWrites.front().mValue));
  }
  while (UnwrittenSteps(entry) > 0) {
    now += 1000;
    sink.Apply(TickBilling(entry, now));
    sink.Apply(
      OnBillsAnswer(entry, sink.mWrites.back().mSequence, true, now + 1));
  }
  std::set<StepId> stored;
  for (const auto& batch : sink.mStore) {
    for (const auto& step : batch.mSteps) {
      stored.insert(step.mId);
    }
  }
  BOOST_TEST(stored.size() == 100u);
}

// Guards against totals that depend on the order or the repetition of batches,
// and against a step that is billed once for each of its runs.
BOOST_AUTO_TEST_CASE(settlement_ignores_order_and_repetition)
{
  BOOST_TEST(rc::check("settlement", [] {
    std::vector<BillBatch> batches;
    Micros runs = 0;
    std::set<StepId> ids;
    std::set<std::pair<std::string, int>> steps;
    auto count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      BillStep step = MakeStep(*rc::gen::inRange(0, 6),
                               *rc::gen::inRange(0, 2),
                               *rc::gen::inRange(0, 3));
      step.mComplete = step.mId.mAttempt == 1;
      runs += ids.insert(step.mId).second ? step.mCost : 0;
      steps.emplace(step.mId.mRequestId, step.mId.mStep);
      batches.push_back({ "w", i, { step } });
    }
    Settlement once;
    for (const auto& batch : batches) {
      Settle(once, batch);
    }
    Settlement twice;
    std::reverse(batches.begin(), batches.end());
    for (int i = 0; i < 2; ++i) {
      for (const auto& batch : batches) {
        Settle(twice, *ParseBillBatch(ToJson(batch).dump()));
      }
    }
    auto totals = TotalsByCustomer(once);
    RC_ASSERT(totals == TotalsByCustomer(twice));
    Micros cost = 0;
    Micros runCost = 0;
    for (const auto& [customer, total] : totals) {
      cost += total.mCost;
      runCost += total.mRunCost;
    }
    RC_ASSERT(cost == 100 * static_cast<Micros>(steps.size()));
    RC_ASSERT(runCost == runs);
  }));
}

// Guards against a parser that accepts a step with a missing or null field.
BOOST_AUTO_TEST_CASE(damaged_bills_are_refused)
{
  for (const char* text :
       { "", "7", "{}", R"({"writer":"w","sequence":1,"steps":[{}]})" }) {
    BOOST_TEST(!ParseBillBatch(text).has_value(), text);
  }
  auto step = ToJson(MakeStep(1));
  BOOST_TEST(ParseBillStep(step).has_value());
  for (const auto& [name, value] : step.items()) {
    auto damaged = step;
    damaged.erase(name);
    BOOST_TEST(!ParseBillStep(damaged).has_value(), name);
    damaged[name] = nullptr;
    BOOST_TEST(!ParseBillStep(damaged).has_value(), name);
  }
}

// Guards against a graceful shutdown that does not write held copies.
BOOST_AUTO_TEST_CASE(flush_includes_held_copies)
{
  Billing agent = MakeBilling("agent-1", { .mHoldMs = 10000 });
  AddStep(agent, MakeStep(1), 0);
  BOOST_TEST(CopyUnwrittenSteps(agent).size() == 1u);
  Sink sink;
  sink.Apply(FlushBilling(agent, 10));
  BOOST_REQUIRE(sink.mStore.size() == 1u);
  BOOST_TEST(CopyUnwrittenSteps(agent).size() == 1u);
  OnBillsAnswer(agent, 1, true, 20);
  BOOST_TEST(CopyUnwrittenSteps(agent).empty());
}

BOOST_AUTO_TEST_SUITE_END()

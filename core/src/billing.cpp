#include "savory/core/billing.h"

#include "json_fields.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace savory {

using nlohmann::json;

namespace {

// Upper bound for the field names and numbers of a step in a batch.
constexpr std::size_t kStepOverheadBytes = 320;

std::size_t
MaxEncodedBytes(const BillStep& aStep)
{
  // JSON escapes one byte of a text with at most six.
  return kStepOverheadBytes +
         6 * (aStep.mId.mRequestId.size() + aStep.mCustomer.size() +
              aStep.mService.size() + aStep.mVersion.size() +
              aStep.mAgent.size());
}

// Moves copies whose hold time is over to the queue.
void
QueueExpiredCopies(Billing& aBilling, TimeMs aNowMs)
{
  while (!aBilling.mHeldDeadlines.empty() &&
         aBilling.mHeldDeadlines.front().first <= aNowMs) {
    auto held = aBilling.mHeld.find(aBilling.mHeldDeadlines.front().second);
    if (held != aBilling.mHeld.end()) {
      aBilling.mQueue.push_back(std::move(held->second));
      aBilling.mHeld.erase(held);
    }
    aBilling.mHeldDeadlines.pop_front();
  }
}

// Writes the next batch, unless one is still in flight.
void
WriteNextBatch(Billing& aBilling, TimeMs aNowMs, BillingActions& aActions)
{
  if (aBilling.mInFlight || aBilling.mQueue.empty()) {
    return;
  }
  BillBatch batch{ .mWriter = aBilling.mWriter,
                   .mSequence = aBilling.mNextSequence++,
                   .mSteps = {} };
  std::size_t bytes = 0;
  while (!aBilling.mQueue.empty()) {
    bytes += MaxEncodedBytes(aBilling.mQueue.front());
    if (!batch.mSteps.empty() && bytes > aBilling.mOptions.mMaxBatchBytes) {
      break;
    }
    batch.mSteps.push_back(std::move(aBilling.mQueue.front()));
    aBilling.mQueue.pop_front();
  }
  std::string value =
    ToJson(batch).dump(-1, ' ', false, json::error_handler_t::replace);
  aActions.push_back(WriteBills{ batch.mSequence, value });
  aBilling.mInFlight = BillsInFlight{ .mSequence = batch.mSequence,
                                      .mValue = std::move(value),
                                      .mSteps = std::move(batch.mSteps),
                                      .mRetryPending = false,
                                      .mSentMs = aNowMs };
  aBilling.mLastWriteMs = aNowMs;
}

int
ReadInt(JsonFields& aFields, const char* aName)
{
  std::int64_t value = aFields.ReadCount(aName);
  if (value > std::numeric_limits<int>::max()) {
    aFields.SetError(std::string(aName) + " is out of range");
    return 0;
  }
  return static_cast<int>(value);
}

StepId
ReadStepId(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  StepId id{ .mRequestId = fields.ReadString("request"),
             .mStep = ReadInt(fields, "step"),
             .mAttempt = ReadInt(fields, "attempt") };
  if (id.mRequestId.empty()) {
    fields.SetError("request must not be empty");
  }
  return id;
}

BillStep
ReadStep(const json& aDocument, std::string& aError)
{
  JsonFields fields{ aDocument, aError };
  return { .mId = ReadStepId(aDocument, aError),
           .mCustomer = fields.ReadString("customer"),
           .mService = fields.ReadString("service"),
           .mVersion = fields.ReadString("version"),
           .mAgent = fields.ReadString("agent"),
           .mInputTokens = fields.ReadCount("input_tokens"),
           .mOutputTokens = fields.ReadCount("output_tokens"),
           .mCost = fields.ReadCount("cost"),
           .mComplete = fields.ReadBool("complete") };
}

// The sort key by which one of two rows of the same run, or one of two runs of
// the same step, is chosen: complete first, then the earlier attempt, then the
// higher cost. The order is total, so that the order of batches is irrelevant.
auto
Rank(const BillStep& aStep)
{
  return std::make_tuple(!aStep.mComplete,
                         aStep.mId.mAttempt,
                         -aStep.mCost,
                         -aStep.mOutputTokens,
                         -aStep.mInputTokens,
                         aStep.mCustomer,
                         aStep.mService,
                         aStep.mVersion,
                         aStep.mAgent);
}

} // namespace

Billing
MakeBilling(const std::string& aWriter, const BillingOptions& aOptions)
{
  Billing billing;
  billing.mWriter = aWriter;
  billing.mOptions = aOptions;
  return billing;
}

std::size_t
UnwrittenSteps(const Billing& aBilling)
{
  return aBilling.mQueue.size() + aBilling.mHeld.size() +
         (aBilling.mInFlight ? aBilling.mInFlight->mSteps.size() : 0);
}

bool
CanBill(const Billing& aBilling, std::size_t aRunning)
{
  return UnwrittenSteps(aBilling) + aRunning < aBilling.mOptions.mMaxUnwritten;
}

void
AddStep(Billing& aBilling, BillStep aStep, TimeMs aNowMs)
{
  if (aBilling.mOptions.mHoldMs == 0) {
    aBilling.mQueue.push_back(std::move(aStep));
    return;
  }
  StepId id = aStep.mId;
  if (aBilling.mHeld.try_emplace(id, std::move(aStep)).second) {
    aBilling.mHeldDeadlines.emplace_back(aNowMs + aBilling.mOptions.mHoldMs,
                                         std::move(id));
  }
}

void
OnStepsSettled(Billing& aBilling, const std::vector<StepId>& aSteps)
{
  for (const auto& id : aSteps) {
    aBilling.mHeld.erase(id);
  }
  std::set<StepId> settled(aSteps.begin(), aSteps.end());
  std::erase_if(aBilling.mQueue, [&settled](const BillStep& aStep) {
    return settled.contains(aStep.mId);
  });
}

BillingActions
OnBillsAnswer(Billing& aBilling,
              std::int64_t aSequence,
              bool aWritten,
              TimeMs aNowMs)
{
  BillingActions actions;
  if (!aBilling.mInFlight || aBilling.mInFlight->mSequence != aSequence) {
    return actions;
  }
  if (!aWritten) {
    // The write may have taken effect, so the same value is written again.
    aBilling.mInFlight->mRetryPending = true;
    aBilling.mInFlight->mSentMs = aNowMs;
    return actions;
  }
  std::map<std::string, std::vector<StepId>> byAgent;
  for (const auto& step : aBilling.mInFlight->mSteps) {
    if (!step.mAgent.empty() && aBilling.mOptions.mHoldMs == 0) {
      byAgent[step.mAgent].push_back(step.mId);
    }
  }
  for (auto& [agent, steps] : byAgent) {
    actions.emplace_back(SendSettled{ agent, std::move(steps) });
  }
  bool more =
    !aBilling.mQueue.empty() &&
    aNowMs >= aBilling.mLastWriteMs + aBilling.mOptions.mWriteIntervalMs;
  aBilling.mInFlight.reset();
  if (more) {
    WriteNextBatch(aBilling, aNowMs, actions);
  }
  return actions;
}

BillingActions
TickBilling(Billing& aBilling, TimeMs aNowMs)
{
  BillingActions actions;
  QueueExpiredCopies(aBilling, aNowMs);
  const auto& options = aBilling.mOptions;
  if (aBilling.mInFlight) {
    auto& bills = *aBilling.mInFlight;
    if (bills.mRetryPending && aNowMs >= bills.mSentMs + options.mRetryMs) {
      bills.mRetryPending = false;
      bills.mSentMs = aNowMs;
      actions.push_back(WriteBills{ bills.mSequence, bills.mValue });
    }
  } else if (aNowMs >= aBilling.mLastWriteMs + options.mWriteIntervalMs) {
    WriteNextBatch(aBilling, aNowMs, actions);
  }
  return actions;
}

std::optional<TimeMs>
NextBillingMs(const Billing& aBilling)
{
  std::optional<TimeMs> due;
  auto consider = [&due](TimeMs aAt) { due = due ? std::min(*due, aAt) : aAt; };
  if (aBilling.mInFlight) {
    if (aBilling.mInFlight->mRetryPending) {
      consider(aBilling.mInFlight->mSentMs + aBilling.mOptions.mRetryMs);
    }
  } else if (!aBilling.mQueue.empty()) {
    consider(aBilling.mLastWriteMs + aBilling.mOptions.mWriteIntervalMs);
  }
  if (!aBilling.mHeldDeadlines.empty()) {
    consider(aBilling.mHeldDeadlines.front().first);
  }
  return due;
}

BillingActions
FlushBilling(Billing& aBilling, TimeMs aNowMs)
{
  BillingActions actions;
  QueueExpiredCopies(aBilling, std::numeric_limits<TimeMs>::max());
  WriteNextBatch(aBilling, aNowMs, actions);
  return actions;
}

std::vector<BillStep>
CopyUnwrittenSteps(const Billing& aBilling)
{
  std::vector<BillStep> steps(aBilling.mQueue.begin(), aBilling.mQueue.end());
  for (const auto& [id, step] : aBilling.mHeld) {
    steps.push_back(step);
  }
  if (aBilling.mInFlight) {
    const auto& more = aBilling.mInFlight->mSteps;
    steps.insert(steps.end(), more.begin(), more.end());
  }
  return steps;
}

void
Settle(Settlement& aSettlement, const BillBatch& aBatch)
{
  for (const auto& step : aBatch.mSteps) {
    auto [found, added] = aSettlement.mRuns.try_emplace(step.mId, step);
    if (!added && Rank(step) < Rank(found->second)) {
      found->second = step;
    }
  }
}

std::map<std::string, CustomerTotal>
TotalsByCustomer(const Settlement& aSettlement)
{
  // 1. Select the one run of each step that is billed; mRunCost counts all.
  std::map<std::string, CustomerTotal> totals;
  std::map<std::pair<std::string, int>, const BillStep*> billed;
  for (const auto& [id, run] : aSettlement.mRuns) {
    totals[run.mCustomer].mRunCost += run.mCost;
    auto& best = billed[{ id.mRequestId, id.mStep }];
    if (best == nullptr || Rank(run) < Rank(*best)) {
      best = &run;
    }
  }
  // 2. Sum the billed runs.
  std::set<std::pair<std::string, std::string>> requests;
  for (const auto& [step, run] : billed) {
    auto& total = totals[run->mCustomer];
    total.mRequests += requests.emplace(run->mCustomer, step.first).second;
    ++total.mSteps;
    total.mInputTokens += run->mInputTokens;
    total.mOutputTokens += run->mOutputTokens;
    total.mCost += run->mCost;
  }
  return totals;
}

json
ToJson(const StepId& aId)
{
  return { { "request", aId.mRequestId },
           { "step", aId.mStep },
           { "attempt", aId.mAttempt } };
}

json
ToJson(const BillStep& aStep)
{
  json step = ToJson(aStep.mId);
  step["customer"] = aStep.mCustomer;
  step["service"] = aStep.mService;
  step["version"] = aStep.mVersion;
  step["agent"] = aStep.mAgent;
  step["input_tokens"] = aStep.mInputTokens;
  step["output_tokens"] = aStep.mOutputTokens;
  step["cost"] = aStep.mCost;
  step["complete"] = aStep.mComplete;
  return step;
}

json
ToJson(const BillBatch& aBatch)
{
  json steps = json::array();
  for (const auto& step : aBatch.mSteps) {
    steps.push_back(ToJson(step));
  }
  return { { "writer", aBatch.mWriter },
           { "sequence", aBatch.mSequence },
           { "steps", std::move(steps) } };
}

tl::expected<StepId, BillingError>
ParseStepId(const json& aDocument)
{
  std::string error;
  StepId id = ReadStepId(aDocument, error);
  if (!error.empty()) {
    return tl::unexpected(BillingError{ error });
  }
  return id;
}

tl::expected<BillStep, BillingError>
ParseBillStep(const json& aDocument)
{
  std::string error;
  BillStep step = ReadStep(aDocument, error);
  if (!error.empty()) {
    return tl::unexpected(BillingError{ error });
  }
  return step;
}

tl::expected<BillBatch, BillingError>
ParseBillBatch(std::string_view aText)
{
  json document = json::parse(aText, nullptr, false);
  std::string error;
  JsonFields fields{ document, error };
  BillBatch batch{ .mWriter = fields.ReadString("writer"),
                   .mSequence = fields.ReadCount("sequence"),
                   .mSteps = {} };
  for (const auto& row : fields.ReadArray("steps")) {
    batch.mSteps.push_back(ReadStep(row, error));
    if (!error.empty()) {
      break;
    }
  }
  if (!error.empty()) {
    return tl::unexpected(BillingError{ error });
  }
  return batch;
}

} // namespace savory

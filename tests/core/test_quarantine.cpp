#include "savory/core/quarantine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

using Fingerprints = std::vector<std::uint64_t>;

void
Exchange(std::vector<Quarantine>& aEntries, TimeMs aNowMs)
{
  QuarantineOptions options;
  for (auto& from : aEntries) {
    auto rows = MakeSuspectRows(from, aNowMs);
    for (auto& to : aEntries) {
      MergeSuspects(to, options, rows, aNowMs);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

// Guards against a request that continues to crash backend servers through
// other entries, and against other requests on the same servers that are never
// served.
BOOST_AUTO_TEST_CASE(crashing_request_is_refused_and_others_are_served)
{
  QuarantineOptions options;
  std::vector<Quarantine> entries(5);
  std::vector<std::string> agents{ "a", "b", "c", "d" };
  constexpr std::uint64_t kCrashing = 1;
  std::vector<std::uint64_t> waiting{ kCrashing, 2, 3 };
  int crashes = 0;
  int served = 0;
  bool refused = false;
  for (int turn = 0; turn < 50; ++turn) {
    // The caller resends through the next entry each time.
    auto& entry = entries[static_cast<std::size_t>(turn) % entries.size()];
    Fingerprints together;
    std::vector<Fingerprints> batches;
    for (auto fingerprint : waiting) {
      switch (CheckQuarantine(entry, options, fingerprint, turn)) {
        case QuarantineAction::Free:
          together.push_back(fingerprint);
          break;
        case QuarantineAction::Isolate:
          batches.push_back({ fingerprint });
          break;
        case QuarantineAction::Refuse:
          refused |= fingerprint == kCrashing;
          BOOST_TEST(fingerprint == kCrashing);
      }
    }
    batches.push_back(together);
    for (const auto& batch : batches) {
      if (batch.empty()) {
        continue;
      }
      if (std::find(batch.begin(), batch.end(), kCrashing) != batch.end()) {
        auto agent = IsolationTarget(kCrashing, agents);
        OnCrash(entry,
                options,
                CrashId(agent, std::to_string(++crashes)),
                batch,
                turn);
        continue;
      }
      for (auto fingerprint : batch) {
        OnRequestCompleted(entry, options, fingerprint);
        std::erase(waiting, fingerprint);
        ++served;
      }
    }
    // The agent reports to all entries before the caller has its answer.
    Exchange(entries, turn);
  }
  BOOST_TEST(crashes <= 3);
  BOOST_TEST(served == 2);
  BOOST_TEST(refused);
}

// Guards against a crash that is counted twice when it arrives through two
// peers, and against a merge whose result depends on the order.
BOOST_AUTO_TEST_CASE(merge_is_idempotent_and_commutative)
{
  bool passes = rc::check([] {
    QuarantineOptions options;
    std::vector<Quarantine> entries(2);
    for (int i = 0; i < 12; ++i) {
      auto& entry = entries[*rc::gen::inRange<std::size_t>(0, 2)];
      auto fingerprint = *rc::gen::inRange<std::uint64_t>(0, 4);
      if (*rc::gen::inRange(0, 3) == 0) {
        OnRequestCompleted(entry, options, fingerprint);
      } else {
        OnCrash(entry,
                options,
                *rc::gen::inRange<std::uint64_t>(0, 3),
                Fingerprints{ fingerprint, 9 },
                i);
      }
    }
    Exchange(entries, 100);
    Exchange(entries, 100);
    for (std::uint64_t fingerprint = 0; fingerprint < 10; ++fingerprint) {
      RC_ASSERT(CheckQuarantine(entries[0], options, fingerprint, 100) ==
                CheckQuarantine(entries[1], options, fingerprint, 100));
    }
    auto rows = MakeSuspectRows(entries[0], 100);
    RC_ASSERT(!MergeSuspects(entries[1], options, rows, 100));
  });
  BOOST_TEST(passes);
}

// Guards against unbounded memory, and against a flood of suspects that evicts
// a refused request.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_refused_requests_stay)
{
  QuarantineOptions options;
  options.mMaxSuspects = 100;
  Quarantine quarantine;
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    OnCrash(quarantine, options, crash, Fingerprints{ 7 }, 0);
  }
  for (std::uint64_t i = 0; i < 1000; ++i) {
    OnCrash(quarantine, options, 100 + i, Fingerprints{ 1000 + i, 1 }, 1);
  }
  BOOST_TEST(quarantine.mSuspects.size() <= 100U);
  BOOST_TEST(
    (CheckQuarantine(quarantine, options, 7, 2) == QuarantineAction::Refuse));
}

// Guards against an expired suspect that two peers keep sending to each other.
BOOST_AUTO_TEST_CASE(expired_suspects_do_not_return_through_gossip)
{
  QuarantineOptions options;
  std::vector<Quarantine> entries(2);
  OnCrash(entries[0], options, 1, Fingerprints{ 7, 8 }, 0);
  Exchange(entries, 1000);
  ExpireSuspects(entries[0], options, options.mRetentionMs + 1);
  Exchange(entries, options.mRetentionMs + 1);
  BOOST_TEST(entries[0].mSuspects.empty());
}

// Guards against a suspect that never expires, and so never runs normally
// again, because its age decreases a little at each exchange between peers.
BOOST_AUTO_TEST_CASE(suspects_age_despite_gossip_delay)
{
  constexpr TimeMs kLagMs = 900;
  QuarantineOptions options;
  std::vector<Quarantine> entries(2);
  OnCrash(entries[0], options, 1, Fingerprints{ 7, 8 }, 0);
  for (TimeMs now = 0; now < 10000; now += 1000) {
    for (std::size_t from = 0; from < 2; ++from) {
      auto rows = MakeSuspectRows(entries[from], now);
      MergeSuspects(entries[1 - from], options, rows, now + kLagMs);
    }
  }
  for (const auto& entry : entries) {
    for (const auto& row : MakeSuspectRows(entry, 10000)) {
      BOOST_TEST(row.mAgeMs >= 10000 - kLagMs);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

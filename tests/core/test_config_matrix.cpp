#include "config_checker.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace savory;
using namespace savory::sim;

namespace {

Configuration
FirstConfiguration()
{
  std::ifstream file(SOURCE_DIR "/docs/examples/gulfway.json");
  auto config = ParseConfiguration(nlohmann::json::parse(file));
  config->mRevision = 0;
  return *config;
}

Mutation
SetWeight(std::size_t aCustomer, double aWeight)
{
  return [aCustomer, aWeight](Configuration& aConfig) {
    aConfig.mCustomers.at(aCustomer).mWeight = aWeight;
  };
}

Mutation
SwitchPreset(std::size_t aPreset)
{
  return [aPreset](Configuration& aConfig) {
    aConfig.mPresetInForce = aConfig.mPresets.at(aPreset).mName;
  };
}

// An operator that changes its own customer and, every third time, the preset
// in force, which the other operators change too.
Operator
MakeOperator(int aIndex)
{
  Operator op;
  op.mName = "op" + std::to_string(aIndex);
  for (int i = 0; i < 10; ++i) {
    op.mChanges.push_back(i % 3 == 2 ? SwitchPreset((i + aIndex) % 3)
                                     : SetWeight(aIndex, 10 * aIndex + i + 2));
  }
  return op;
}

using InjectFaults = void (*)(Fleet&);

struct Scenario
{
  const char* mName;
  InjectFaults mInjectFaults;
};

void
At(Fleet& aFleet, TimeMs aTimeMs, std::function<void()> aEvent)
{
  aFleet.At(aTimeMs, std::move(aEvent));
}

void
Outage(Fleet& aFleet, TimeMs aFromMs, TimeMs aToMs)
{
  At(aFleet, aFromMs, [&aFleet] { aFleet.SetStore(false); });
  At(aFleet, aToMs, [&aFleet] { aFleet.SetStore(true); });
}

void
PartitionNode(Fleet& aFleet, int aNode, TimeMs aFromMs, TimeMs aToMs)
{
  At(aFleet, aFromMs, [&aFleet, aNode] {
    aFleet.mNodes[aNode].mDisconnected = true;
  });
  At(aFleet, aToMs, [&aFleet, aNode] {
    aFleet.mNodes[aNode].mDisconnected = false;
  });
}

// Partitions one entry off and reconnects it during an outage of the store in
// which another entry restarts. All other nodes are paused meanwhile, so that
// the lagging entry answers the restarted one first.
void
RunLaggingPeer(Fleet& aFleet)
{
  PartitionNode(aFleet, 0, 12000, 31000);
  Outage(aFleet, 28000, 60000);
  At(aFleet, 30000, [&aFleet] { aFleet.Restart(1, 1200); });
  for (int i = 2; i < static_cast<int>(aFleet.mNodes.size()); ++i) {
    At(aFleet, 31000, [&aFleet, i] { aFleet.Pause(i); });
    At(aFleet, 38000, [&aFleet, i] { aFleet.Resume(i); });
  }
}

const std::vector<Scenario> kScenarios{
  { "no fault", [](Fleet&) {} },
  { "store down before a change",
    [](Fleet& aFleet) { Outage(aFleet, 9000, 30000); } },
  { "store down during a change",
    [](Fleet& aFleet) {
      for (TimeMs at = 10010; at < 45000; at += 7013) {
        Outage(aFleet, at, at + 2500);
      }
    } },
  { "store down after a change",
    [](Fleet& aFleet) { Outage(aFleet, 10100, 50000); } },
  { "answers of the store lost",
    [](Fleet& aFleet) { aFleet.mStore.mAnswerLossRate = 0.4; } },
  { "processes killed and restarted",
    [](Fleet& aFleet) {
      for (int i = 0; i < 20; ++i) {
        At(aFleet, 10000 + 2000 * i, [&aFleet, i] {
          aFleet.Restart((i * 5) % static_cast<int>(aFleet.mNodes.size()), 700);
        });
      }
    } },
  { "process paused",
    [](Fleet& aFleet) {
      for (int i : { 0, 4, 9, 12 }) {
        At(aFleet, 11000, [&aFleet, i] { aFleet.Pause(i); });
        At(aFleet, 36000, [&aFleet, i] { aFleet.Resume(i); });
      }
    } },
  { "one process cut off alone",
    [](Fleet& aFleet) { PartitionNode(aFleet, 2, 11000, 42000); } },
  { "region cut off",
    [](Fleet& aFleet) {
      At(aFleet, 11000, [&aFleet] { aFleet.mPartitionedRegion = "r1"; });
      At(aFleet, 42000, [&aFleet] { aFleet.mPartitionedRegion = ""; });
    } },
  { "lagging peer and a restart", RunLaggingPeer },
  { "one restart in an outage",
    [](Fleet& aFleet) {
      Outage(aFleet, 15000, 50000);
      At(aFleet, 30000, [&aFleet] { aFleet.Restart(4, 500); });
    } },
  { "fleet restarted in an outage",
    [](Fleet& aFleet) {
      Outage(aFleet, 15000, 50000);
      for (std::size_t i = 0; i < aFleet.mNodes.size(); ++i) {
        At(aFleet, 20000 + 100 * static_cast<TimeMs>(i), [&aFleet, i] {
          aFleet.Restart(static_cast<int>(i), 1500);
        });
      }
    } },
  { "outage, region cut and restarts",
    [](Fleet& aFleet) {
      Outage(aFleet, 14000, 27000);
      At(aFleet, 18000, [&aFleet] { aFleet.mPartitionedRegion = "r2"; });
      At(aFleet, 44000, [&aFleet] { aFleet.mPartitionedRegion = ""; });
      for (int i = 0; i < 9; i += 2) {
        At(aFleet, 20000 + 3000 * i, [&aFleet, i] { aFleet.Restart(i, 900); });
      }
    } },
};

struct Outcome
{
  std::vector<std::string> mViolations;
  std::size_t mAccepted = 0;
  std::int64_t mWork = 0;
};

// Runs one scenario: 60 s with faults, then 30 s without.
Outcome
RunCell(const Scenario& aScenario,
        std::uint64_t aSeed,
        const SyncOptions& aOptions)
{
  SimulationOptions options;
  options.mSeed = aSeed;
  options.mSync = aOptions;
  options.mLossRate = 0.02;
  options.mDuplicateRate = 0.05;
  options.mLateRate = 0.05;
  Fleet fleet(options);
  Checker checker(fleet, FirstConfiguration());
  for (int i = 0; i < 2; ++i) {
    checker.AddOperator(MakeOperator(i), 10000);
  }
  // An operator with spaced changes, so that a stale revision stays outdated
  // long enough for the checks on work to detect it.
  Operator third = MakeOperator(2);
  third.mPauseMs = 4000;
  checker.AddOperator(third, 10500);
  checker.OfferWorkUntil(88000);
  aScenario.mInjectFaults(fleet);
  fleet.RunUntil(60000);
  fleet.mStore.mAnswerLossRate = 0;
  fleet.mOptions.mLossRate = 0;
  fleet.RunUntil(90000);
  checker.Finish();
  return { checker.Violations(),
           fleet.mStore.mAccepted.size(),
           checker.AcceptedWork() };
}

// Whether the checker finds a violation in a scenario with the options.
bool
FindsViolation(const SyncOptions& aOptions, const std::string& aScenario)
{
  for (const auto& scenario : kScenarios) {
    for (std::uint64_t seed = 1; aScenario == scenario.mName && seed <= 6;
         ++seed) {
      Outcome outcome = RunCell(scenario, seed, aOptions);
      if (!outcome.mViolations.empty()) {
        std::printf("safeguard disabled: %s, seed %d: %s\n",
                    scenario.mName,
                    static_cast<int>(seed),
                    outcome.mViolations.front().c_str());
        return true;
      }
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_matrix)

// Guards against a process that returns to an older configuration, work on an
// outdated one, and a change that is lost or reported wrongly to its operator,
// under each fault.
BOOST_AUTO_TEST_CASE(faults_cause_no_stale_work_and_no_lost_change)
{
  int run = 0;
  int passed = 0;
  for (const auto& scenario : kScenarios) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Outcome outcome = RunCell(scenario, seed, {});
      run += 1;
      passed += outcome.mViolations.empty() ? 1 : 0;
      BOOST_TEST(outcome.mAccepted > 10, scenario.mName);
      BOOST_TEST(outcome.mWork > 500, scenario.mName);
      for (const auto& violation : outcome.mViolations) {
        BOOST_TEST(false,
                   scenario.mName << ", seed " << seed << ": " << violation);
        break;
      }
    }
  }
  std::printf("matrix config: %d cells run, %d passed\n", run, passed);
}

// Guards against a checker that detects nothing: with any safeguard disabled,
// it must report a violation.
BOOST_AUTO_TEST_CASE(checker_detects_each_disabled_safeguard)
{
  BOOST_TEST(FindsViolation({ .mApplyOnlyNewer = false }, "no fault"));
  BOOST_TEST(FindsViolation({ .mStartNeedsMajority = false },
                            "lagging peer and a restart"));
  BOOST_TEST(FindsViolation({ .mRefuseWhenStale = false }, "process paused"));
  BOOST_TEST(FindsViolation({ .mRefuseOlderSender = false }, "no fault"));
}

BOOST_AUTO_TEST_SUITE_END()

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

// A change of the weight of one customer.
Mutation
Weigh(std::size_t aCustomer, double aWeight)
{
  return [aCustomer, aWeight](Configuration& aConfig) {
    aConfig.mCustomers.at(aCustomer).mWeight = aWeight;
  };
}

Mutation
Switch(std::size_t aPreset)
{
  return [aPreset](Configuration& aConfig) {
    aConfig.mPresetInForce = aConfig.mPresets.at(aPreset).mName;
  };
}

// An operator with changes of its own customer, and in between of fields that
// the other one changes too.
Operator
MakeOperator(int aIndex)
{
  Operator who;
  who.mName = "op" + std::to_string(aIndex);
  for (int i = 0; i < 10; ++i) {
    who.mChanges.push_back(i % 3 == 2 ? Switch((i + aIndex) % 3)
                                      : Weigh(aIndex, 10 * aIndex + i + 2));
  }
  return who;
}

using Faults = void (*)(Fleet&);

struct Scenario
{
  const char* mName;
  Faults mFaults;
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
CutOffNode(Fleet& aFleet, int aNode, TimeMs aFromMs, TimeMs aToMs)
{
  At(aFleet, aFromMs, [&aFleet, aNode] {
    aFleet.mNodes[aNode].mCutAlone = true;
  });
  At(aFleet, aToMs, [&aFleet, aNode] {
    aFleet.mNodes[aNode].mCutAlone = false;
  });
}

// Cuts an entry off, then ends its cut in an outage in which another restarts.
// Everyone else is paused a while, so that the lagging one answers first.
void
RunLaggingPeer(Fleet& aFleet)
{
  CutOffNode(aFleet, 0, 12000, 31000);
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
    [](Fleet& aFleet) { aFleet.mStore.mLoseAnswers = 0.4; } },
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
    [](Fleet& aFleet) { CutOffNode(aFleet, 2, 11000, 42000); } },
  { "region cut off",
    [](Fleet& aFleet) {
      At(aFleet, 11000, [&aFleet] { aFleet.mCutRegion = "r1"; });
      At(aFleet, 42000, [&aFleet] { aFleet.mCutRegion = ""; });
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
      At(aFleet, 18000, [&aFleet] { aFleet.mCutRegion = "r2"; });
      At(aFleet, 44000, [&aFleet] { aFleet.mCutRegion = ""; });
      for (int i = 0; i < 9; i += 2) {
        At(aFleet, 20000 + 3000 * i, [&aFleet, i] { aFleet.Restart(i, 900); });
      }
    } },
};

struct Outcome
{
  std::vector<std::string> mFaults;
  std::size_t mAccepted = 0;
  std::int64_t mWork = 0;
};

// Runs one cell: faults until 60 s, then 30 s of quiet.
Outcome
RunCell(const Scenario& aScenario,
        std::uint64_t aSeed,
        const SyncOptions& aOptions)
{
  Shape shape;
  shape.mSeed = aSeed;
  shape.mSync = aOptions;
  shape.mLoss = 0.02;
  shape.mDuplicates = 0.05;
  shape.mLate = 0.05;
  Fleet fleet(shape);
  Checker checker(fleet, FirstConfiguration());
  for (int i = 0; i < 2; ++i) {
    checker.AddOperator(MakeOperator(i), 10000);
  }
  // A fixed operator whose changes do not race, so that work has to notice.
  Operator third = MakeOperator(2);
  third.mPauseMs = 4000;
  checker.AddOperator(third, 10500);
  checker.OfferWorkUntil(88000);
  aScenario.mFaults(fleet);
  fleet.RunUntil(60000);
  fleet.mStore.mLoseAnswers = 0;
  fleet.mShape.mLoss = 0;
  fleet.RunUntil(90000);
  checker.Finish();
  return { checker.Faults(),
           fleet.mStore.mAccepted.size(),
           checker.AcceptedWork() };
}

// Whether the checker finds a fault in a scenario with the options.
bool
FindsFault(const SyncOptions& aOptions, const std::string& aScenario)
{
  for (const auto& scenario : kScenarios) {
    for (std::uint64_t seed = 1; aScenario == scenario.mName && seed <= 6;
         ++seed) {
      Outcome outcome = RunCell(scenario, seed, aOptions);
      if (!outcome.mFaults.empty()) {
        std::printf("mechanism taken away: %s, seed %d: %s\n",
                    scenario.mName,
                    static_cast<int>(seed),
                    outcome.mFaults.front().c_str());
        return true;
      }
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_matrix)

// Guards against a configuration that goes back, work on an old one, a change
// that is lost or told wrongly to its operator, in each of the faults.
BOOST_AUTO_TEST_CASE(no_fault_breaks_the_promises)
{
  int run = 0;
  int passed = 0;
  for (const auto& scenario : kScenarios) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Outcome outcome = RunCell(scenario, seed, {});
      run += 1;
      passed += outcome.mFaults.empty() ? 1 : 0;
      BOOST_TEST(outcome.mAccepted > 10, scenario.mName);
      BOOST_TEST(outcome.mWork > 500, scenario.mName);
      for (const auto& fault : outcome.mFaults) {
        BOOST_TEST(false, scenario.mName << ", seed " << seed << ": " << fault);
        break;
      }
    }
  }
  std::printf("matrix config: %d cells run, %d passed\n", run, passed);
}

// Guards against a checker that finds nothing: without each mechanism it does.
BOOST_AUTO_TEST_CASE(the_checks_fail_without_the_mechanisms)
{
  BOOST_TEST(FindsFault({ .mApplyOnlyNewer = false }, "no fault"));
  BOOST_TEST(
    FindsFault({ .mStartNeedsMajority = false }, "lagging peer and a restart"));
  BOOST_TEST(FindsFault({ .mRefuseWhenStale = false }, "process paused"));
  BOOST_TEST(FindsFault({ .mRefuseOlderSender = false }, "no fault"));
}

BOOST_AUTO_TEST_SUITE_END()

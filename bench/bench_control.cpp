#include "../tests/core/fleet_sim.h"
#include "benchmarks.h"

#include <algorithm>
#include <cmath>
#include <malloc.h>
#include <numeric>

namespace savory::bench {

namespace {

using sim::Fleet;
using sim::Node;
using sim::SimulationOptions;

// The fleet size of docs/design.md, section 1.7.
constexpr int kFullEntryCount = 410;
constexpr int kFullAgentCount = 12000;
constexpr double kChangesPerDay = 82000;
constexpr int kRegionCount = 4;

// Entries whose agents are simulated. Each has its share of the 12,000 agents.
// The agents of the other entries would behave in the same way.
constexpr int kEntriesWithAgents = 4;

// Simulated time before the measurement, during it, and after the last change.
constexpr TimeMs kWarmUpMs = 6000;
constexpr TimeMs kMeasureMs = 15000;
constexpr TimeMs kSettleMs = 6000;

constexpr double kTargetBytesPerS = 5000;
constexpr double kTargetCpuShare = 0.024;
constexpr double kTargetMegabytes = 256;
constexpr double kTargetDelayS = 9;

// A configuration of the size expected in two years: 10 models with 3 versions
// each, 20 customers, 9 zones.
Configuration
MakeFullConfiguration()
{
  Configuration config;
  for (int i = 0; i < 10; ++i) {
    Model model;
    model.mName = "model-" + std::to_string(i);
    model.mInputCostPerToken = 100 + i;
    model.mOutputCostPerToken = 400 + i;
    for (int k = 1; k <= 3; ++k) {
      Version version;
      version.mName = "v" + std::to_string(k);
      model.mVersions.push_back(version);
    }
    config.mModels.push_back(model);
  }
  config.mServices.push_back({ "ledger", 10, { { "POST", "/handovers" } } });
  for (int i = 0; i < 20; ++i) {
    Customer customer;
    customer.mName = "customer-" + std::to_string(i);
    customer.mKeyHash = std::string(64, static_cast<char>('a' + i % 6));
    customer.mAllowedModels = { "model-0", "model-1", "model-2" };
    customer.mServices = { "ledger" };
    config.mCustomers.push_back(customer);
  }
  for (int i = 0; i < 9; ++i) {
    config.mZones.push_back({ "zone-" + std::to_string(i),
                              "r" + std::to_string(i % kRegionCount),
                              ZoneState::In });
  }
  for (const char* name : { "ordinary", "peak", "maintenance" }) {
    Preset preset;
    preset.mName = name;
    config.mPresets.push_back(preset);
  }
  config.mPresetInForce = "ordinary";
  config.mSessionSecret = "secret";
  config.mOperatorTokenHash = std::string(64, '0');
  return config;
}

// Change aChangeNumber. The kinds alternate: a customer's weight, a candidate's
// share, the state of a zone, the preset in force.
Mutation
MakeMutation(int aChangeNumber)
{
  return [aChangeNumber](Configuration& aConfig) {
    auto index = static_cast<std::size_t>(aChangeNumber);
    switch (aChangeNumber % 4) {
      case 0:
        aConfig.mCustomers[index % 20].mWeight = 1 + aChangeNumber;
        break;
      case 1:
        aConfig.mModels[index % 10].mVersions[2].mShare =
          (aChangeNumber % 100) / 100.;
        break;
      case 2:
        aConfig.mZones[index % 9].mState =
          aConfig.mZones[index % 9].mState == ZoneState::In
            ? ZoneState::Returning
            : ZoneState::In;
        break;
      default:
        aConfig.mPresetInForce =
          aConfig.mPresetInForce == "ordinary" ? "peak" : "ordinary";
        break;
    }
  };
}

// Starts changes at the rate kChangesPerDay until mUntilMs.
struct ChangeGenerator
{
  Fleet& mFleet;
  TimeMs mUntilMs;
  int mChangeCount = 0;

  void StartNextChange()
  {
    auto change = std::make_shared<Change>(StartChange(
      "operation-" + std::to_string(mChangeCount), MakeMutation(mChangeCount)));
    mChangeCount += 1;
    ContinueChange(change);
    auto gapMs = static_cast<TimeMs>(86400000 / kChangesPerDay);
    if (mFleet.mNow + gapMs < mUntilMs) {
      mFleet.At(mFleet.mNow + gapMs, [this] { StartNextChange(); });
    }
  }

  void ContinueChange(const std::shared_ptr<Change>& aChange)
  {
    auto call = NextCall(*aChange);
    if (call) {
      mFleet.CallStore(
        "r0", *call, [this, aChange](const StoreCallAnswer& aAnswer) {
          OnStoreAnswer(*aChange, aAnswer);
          ContinueChange(aChange);
        });
    }
  }
};

// Resource use at one fleet size. Values of a node are means over the entries
// that have agents, or maxima where the name says so.
struct ControlUsage
{
  int mEntryCount = 0;
  double mSentBytesPerS = 0;
  double mReceivedBytesPerS = 0;
  double mMaxSentBytesPerS = 0;
  double mGossipBytesPerS = 0;
  double mCpuShare = 0;
  double mAgentCpuShare = 0;
  double mAgentSentBytesPerS = 0;
  double mMegabytes = 0;
  double mAgentMegabytes = 0;
  double mStoreCallsPerS = 0;
  double mMaxHeadAgeS = 0;
  std::vector<double> mInForceDelaysS;
};

double
HeapMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

// The heap size of a copy of a value.
template<class T>
double
MeasureCopyMegabytes(const T& aValue)
{
  double before = HeapMegabytes();
  auto copy = std::make_unique<T>(aValue);
  return HeapMegabytes() - before;
}

// Writes the first configuration to the store before the fleet starts.
void
WriteFirstConfiguration(Fleet& aFleet)
{
  Configuration config = MakeFullConfiguration();
  Change first = StartFirstConfiguration("first", config);
  while (auto call = NextCall(first)) {
    StoreCallAnswer answer;
    for (const auto& key : call->mKeys) {
      auto found = aFleet.mStore.mValues.find(key);
      answer.mValues.push_back(found == aFleet.mStore.mValues.end()
                                 ? std::nullopt
                                 : std::optional(found->second));
    }
    for (const auto& [key, value] : call->mEntries) {
      aFleet.mStore.mValues[key] = value;
    }
    if (call->mKind == StoreCall::Kind::SwapHead) {
      aFleet.mStore.mValues[std::string(kHeadKey)] = call->mValue;
      aFleet.mStore.mAccepted.push_back({ 1, aFleet.mNow, call->mValue });
    }
    OnStoreAnswer(first, answer);
  }
}

ControlUsage
MeasureFleet(int aEntries, std::uint64_t aSeed, Results& aResults)
{
  SimulationOptions options;
  options.mRegions = kRegionCount;
  options.mEntriesPerRegion = (aEntries + kRegionCount - 1) / kRegionCount;
  options.mAgentsPerEntry =
    (kFullAgentCount + kFullEntryCount - 1) / kFullEntryCount;
  options.mEntriesWithAgents = kEntriesWithAgents;
  options.mReportTargets = 1;
  options.mSeed = aSeed;
  Fleet fleet(options);
  WriteFirstConfiguration(fleet);
  std::uint64_t n = options.mRegions * options.mEntriesPerRegion;
  // 1. The demand of all customers changes every second.
  for (auto& node : fleet.mNodes) {
    for (int i = 0; i < 10 && node.mRole == Role::Entry; ++i) {
      node.mDemand["customer-" + std::to_string(i)] = 1 + i;
    }
    if (node.mRole == Role::Entry) {
      SetSection(node.mTable,
                 "ratings",
                 { { "model-0@v3", { 120, 7 } }, { "model-1@v3", { 80, 3 } } },
                 false,
                 fleet.mNow);
    }
  }
  // The fleet starts in its steady state: each entry knows all others, and the
  // rows are published at different times.
  for (auto& node : fleet.mNodes) {
    for (const auto& other : fleet.mNodes) {
      if (node.mRole == Role::Entry && other.mRole == Role::Entry) {
        MergeRow(node.mTable, other.mTable.mSelf, fleet.mNow);
      }
    }
    node.mTable.mAnnounceUntilMs = 0;
    node.mTable.mNextPublishMs =
      fleet.mNow +
      static_cast<TimeMs>(fleet.mRandom() % (kPublishIntervalPerEntryMs * n));
  }
  std::function<void()> changeDemand = [&] {
    for (auto& node : fleet.mNodes) {
      for (auto& [customer, demand] : node.mDemand) {
        demand = 1 + static_cast<double>(fleet.mRandom() % 1000) / 10;
      }
    }
    fleet.At(fleet.mNow + 1000, changeDemand);
  };
  changeDemand();
  // 2. Record when each revision is in force at all nodes. A node that skips a
  // revision has it in force with the next one.
  std::map<std::int64_t, TimeMs> inForceMs;
  std::vector<std::int64_t> nodeRevisions(fleet.mNodes.size());
  std::int64_t fleetRevision = 0;
  fleet.mObserver.mApplied = [&](int aNode, std::int64_t aRevision) {
    nodeRevisions[aNode] = aRevision;
    std::int64_t lowest =
      *std::min_element(nodeRevisions.begin(), nodeRevisions.end());
    while (fleetRevision < lowest) {
      inForceMs[++fleetRevision] = fleet.mNow;
    }
    if (aNode == 0) {
      MixDecision(aResults,
                  std::to_string(aRevision) + "@" + std::to_string(fleet.mNow));
    }
  };
  TimeMs start = fleet.mNow + kWarmUpMs;
  TimeMs end = start + kMeasureMs;
  ChangeGenerator generator{ fleet, end };
  fleet.At(fleet.mNow + 1000, [&] { generator.StartNextChange(); });
  fleet.RunUntil(start);
  for (auto& node : fleet.mNodes) {
    node.mUsage = {};
  }
  std::int64_t callsBefore = fleet.mStore.mCalls;
  fleet.RunUntil(end);
  // 3. Compute the means and maxima.
  ControlUsage result;
  result.mEntryCount = options.mRegions * options.mEntriesPerRegion;
  double seconds = static_cast<double>(kMeasureMs) / 1000;
  int agentCount = 0;
  for (const auto& node : fleet.mNodes) {
    const sim::Usage& usage = node.mUsage;
    double sentBytesPerS = static_cast<double>(usage.mSentBytes) / seconds;
    if (node.mRole == Role::Agent) {
      agentCount += 1;
      result.mAgentCpuShare += usage.mCpuSeconds / seconds;
      result.mAgentSentBytesPerS += sentBytesPerS;
    } else if (!node.mAgents.empty()) {
      result.mSentBytesPerS += sentBytesPerS / kEntriesWithAgents;
      result.mMaxSentBytesPerS =
        std::max(result.mMaxSentBytesPerS, sentBytesPerS);
      result.mReceivedBytesPerS +=
        static_cast<double>(usage.mReceivedBytes + usage.mStoreBytes) /
        seconds / kEntriesWithAgents;
      result.mGossipBytesPerS +=
        static_cast<double>(usage.mGossipBytes) / seconds / kEntriesWithAgents;
      result.mCpuShare += usage.mCpuSeconds / seconds / kEntriesWithAgents;
    }
  }
  for (const auto& node : fleet.mNodes) {
    if (node.mRole == Role::Entry) {
      TimeMs verifiedMs = node.mSync.mVerifiedMs.value_or(0);
      result.mMaxHeadAgeS =
        std::max(result.mMaxHeadAgeS,
                 static_cast<double>(fleet.mNow - verifiedMs) / 1000);
    }
  }
  result.mAgentCpuShare /= agentCount;
  result.mAgentSentBytesPerS /= agentCount;
  result.mStoreCallsPerS =
    static_cast<double>(fleet.mStore.mCalls - callsBefore) / seconds;
  const Node& entry = fleet.mNodes[0];
  const Node& agent = fleet.mNodes[entry.mAgents[0]];
  result.mMegabytes =
    MeasureCopyMegabytes(entry.mSync) + MeasureCopyMegabytes(entry.mTable);
  result.mAgentMegabytes = MeasureCopyMegabytes(agent.mSync);
  fleet.RunUntil(end + kSettleMs);
  for (const auto& accepted : fleet.mStore.mAccepted) {
    if (accepted.mAcceptedMs >= start &&
        inForceMs.contains(accepted.mRevision)) {
      result.mInForceDelaysS.push_back(
        static_cast<double>(inForceMs[accepted.mRevision] -
                            accepted.mAcceptedMs) /
        1000);
    } else if (accepted.mAcceptedMs >= start) {
      result.mInForceDelaysS.push_back(1e9);
    }
  }
  std::sort(result.mInForceDelaysS.begin(), result.mInForceDelaysS.end());
  return result;
}

double
Quantile(const std::vector<double>& aSorted, double aLevel)
{
  auto index = static_cast<std::size_t>(
    aLevel * static_cast<double>(aSorted.size() - 1) + 0.5);
  return aSorted[index];
}

// The slope, by least squares, of a value over the number of entries.
double
FitSlope(const std::vector<ControlUsage>& aRuns, double ControlUsage::*aValue)
{
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& run : aRuns) {
    n += 1;
    x += run.mEntryCount;
    y += run.*aValue;
    xx += static_cast<double>(run.mEntryCount) * run.mEntryCount;
    xy += run.mEntryCount * run.*aValue;
  }
  return (n * xy - x * y) / (n * xx - x * x);
}

} // namespace

// Traffic, processor time, memory and delay of configuration and membership, by
// fleet size, at 82,000 changes a day.
void
BenchControl(Results& aResults)
{
  std::vector<ControlUsage> runs;
  for (int entries : { 24, 100, 204, 412 }) {
    runs.push_back(MeasureFleet(entries, 20261204, aResults));
  }
  const ControlUsage& full = runs.back();
  auto add = [&](const std::string& aName,
                 const std::string& aUnit,
                 double ControlUsage::*aValue,
                 std::optional<double> aTarget) {
    Metric metric{ .mName = "control_" + aName,
                   .mUnit = aUnit,
                   .mDirection = Direction::Lower,
                   .mValues = { full.*aValue },
                   .mBaselines = {},
                   .mBound = {},
                   .mTarget = aTarget };
    for (const auto& run : runs) {
      metric.mBaselines.emplace_back("n" + std::to_string(run.mEntryCount),
                                     run.*aValue);
    }
    metric.mBaselines.emplace_back("slope/100", 100 * FitSlope(runs, aValue));
    aResults.mMetrics.push_back(std::move(metric));
  };
  add("sent", "B/s", &ControlUsage::mSentBytesPerS, kTargetBytesPerS);
  add("sent_most", "B/s", &ControlUsage::mMaxSentBytesPerS, kTargetBytesPerS);
  add("received", "B/s", &ControlUsage::mReceivedBytesPerS, kTargetBytesPerS);
  add("gossip_sent", "B/s", &ControlUsage::mGossipBytesPerS, {});
  add("core", "share", &ControlUsage::mCpuShare, kTargetCpuShare);
  add("memory", "MB", &ControlUsage::mMegabytes, kTargetMegabytes);
  add(
    "agent_sent", "B/s", &ControlUsage::mAgentSentBytesPerS, kTargetBytesPerS);
  add("agent_core", "share", &ControlUsage::mAgentCpuShare, kTargetCpuShare);
  add("agent_memory", "MB", &ControlUsage::mAgentMegabytes, kTargetMegabytes);
  add("store_calls", "1/s", &ControlUsage::mStoreCallsPerS, {});
  add("head_age_max", "s", &ControlUsage::mMaxHeadAgeS, kTargetDelayS);
  for (const auto& [name, share] :
       { std::pair{ "p50", .5 }, { "p99", .99 }, { "max", 1. } }) {
    Metric metric{ .mName = std::string("control_in_force_") + name,
                   .mUnit = "s",
                   .mDirection = Direction::Lower,
                   .mValues = { Quantile(full.mInForceDelaysS, share) },
                   .mBaselines = {},
                   .mBound = {},
                   .mTarget = kTargetDelayS };
    for (const auto& run : runs) {
      metric.mBaselines.emplace_back("n" + std::to_string(run.mEntryCount),
                                     Quantile(run.mInForceDelaysS, share));
    }
    aResults.mMetrics.push_back(std::move(metric));
  }
  // Store calls per entry must decrease with the size of the fleet.
  aResults.mMetrics.push_back(
    { .mName = "control_store_growth",
      .mUnit = "ratio",
      .mDirection = Direction::Lower,
      .mValues = { full.mStoreCallsPerS / runs.front().mStoreCallsPerS },
      .mBaselines = { { "fleet",
                        static_cast<double>(full.mEntryCount) /
                          runs.front().mEntryCount } },
      .mBound = {},
      .mTarget =
        static_cast<double>(full.mEntryCount) / runs.front().mEntryCount });
}

} // namespace savory::bench

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

// The size of design section 1.7.
constexpr int kFullEntries = 410;
constexpr int kFullAgents = 12000;
constexpr double kChangesADay = 82000;
constexpr int kRegions = 4;

// Entries whose agents take part. Each has its share of the 12,000; the agents
// of the others would only repeat what these show.
constexpr int kEntriesWithAgents = 4;

// Simulated time before the measurement, in it, and after the last change.
constexpr TimeMs kWarmUpMs = 6000;
constexpr TimeMs kMeasureMs = 15000;
constexpr TimeMs kTailMs = 6000;

constexpr double kTargetBytes = 5000;
constexpr double kTargetCore = 0.024;
constexpr double kTargetMegabytes = 256;
constexpr double kTargetSeconds = 9;

// A configuration of the size in two years: 10 models with 3 versions, 20
// customers, 9 zones.
Configuration
FullConfiguration()
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
                              "r" + std::to_string(i % kRegions),
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

// The kinds of change of a day, in turn: a customer's weight, a candidate's
// share, a zone, the preset.
Mutation
ChangeOf(int aNumber)
{
  return [aNumber](Configuration& aConfig) {
    auto index = static_cast<std::size_t>(aNumber);
    switch (aNumber % 4) {
      case 0:
        aConfig.mCustomers[index % 20].mWeight = 1 + aNumber;
        break;
      case 1:
        aConfig.mModels[index % 10].mVersions[2].mShare =
          (aNumber % 100) / 100.;
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

// Makes one change after another, at the rate of a day.
struct Changer
{
  Fleet& mFleet;
  TimeMs mUntilMs;
  int mNumber = 0;

  void Next()
  {
    auto change = std::make_shared<Change>(
      StartChange("operation-" + std::to_string(mNumber), ChangeOf(mNumber)));
    mNumber += 1;
    Step(change);
    auto gap = static_cast<TimeMs>(86400000 / kChangesADay);
    if (mFleet.mNow + gap < mUntilMs) {
      mFleet.At(mFleet.mNow + gap, [this] { Next(); });
    }
  }

  void Step(const std::shared_ptr<Change>& aChange)
  {
    auto call = NextCall(*aChange);
    if (call) {
      mFleet.CallStore(
        "r0", *call, [this, aChange](const StoreCallAnswer& aAnswer) {
          OnStoreAnswer(*aChange, aAnswer);
          Step(aChange);
        });
    }
  }
};

// What one fleet size gave. Figures of a node are means over the entries that
// have agents, but the highest where the name says so.
struct Measured
{
  int mEntries = 0;
  double mSent = 0;
  double mReceived = 0;
  double mSentMost = 0;
  double mGossip = 0;
  double mCore = 0;
  double mCoreAgent = 0;
  double mSentAgent = 0;
  double mMegabytes = 0;
  double mMegabytesAgent = 0;
  double mStoreCalls = 0;
  double mHeadAge = 0;
  std::vector<double> mInForce;
};

double
HeapMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

// The heap that a copy of a value takes.
template<class T>
double
CopyMegabytes(const T& aValue)
{
  double before = HeapMegabytes();
  auto copy = std::make_unique<T>(aValue);
  return HeapMegabytes() - before;
}

// Writes the first configuration into the store before the fleet starts.
void
Seed(Fleet& aFleet)
{
  Configuration config = FullConfiguration();
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

Measured
Run(int aEntries, std::uint64_t aSeed, Results& aResults)
{
  SimulationOptions shape;
  shape.mRegions = kRegions;
  shape.mEntriesPerRegion = (aEntries + kRegions - 1) / kRegions;
  shape.mAgentsPerEntry = (kFullAgents + kFullEntries - 1) / kFullEntries;
  shape.mEntriesWithAgents = kEntriesWithAgents;
  shape.mReportTargets = 1;
  shape.mSeed = aSeed;
  Fleet fleet(shape);
  Seed(fleet);
  std::uint64_t n = shape.mRegions * shape.mEntriesPerRegion;
  // 1. Demand of all customers changes all the time.
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
  // The fleet has run for long: each entry knows the others, and their rows
  // are due at different times.
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
  std::function<void()> shift = [&] {
    for (auto& node : fleet.mNodes) {
      for (auto& [customer, demand] : node.mDemand) {
        demand = 1 + static_cast<double>(fleet.mRandom() % 1000) / 10;
      }
    }
    fleet.At(fleet.mNow + 1000, shift);
  };
  shift();
  // 2. When each revision is in force at each node. A node that skips one has
  // it in force with the next.
  std::map<std::int64_t, TimeMs> inForce;
  std::vector<std::int64_t> has(fleet.mNodes.size());
  std::int64_t everywhere = 0;
  fleet.mObserver.mApplied = [&](int aNode, std::int64_t aRevision) {
    has[aNode] = aRevision;
    std::int64_t lowest = *std::min_element(has.begin(), has.end());
    while (everywhere < lowest) {
      inForce[++everywhere] = fleet.mNow;
    }
    if (aNode == 0) {
      MixDecision(aResults,
                  std::to_string(aRevision) + "@" + std::to_string(fleet.mNow));
    }
  };
  TimeMs start = fleet.mNow + kWarmUpMs;
  TimeMs end = start + kMeasureMs;
  Changer changer{ fleet, end };
  fleet.At(fleet.mNow + 1000, [&] { changer.Next(); });
  fleet.RunUntil(start);
  for (auto& node : fleet.mNodes) {
    node.mUsage = {};
  }
  std::int64_t calls = fleet.mStore.mCalls;
  fleet.RunUntil(end);
  // 3. Sum up.
  Measured result;
  result.mEntries = shape.mRegions * shape.mEntriesPerRegion;
  double seconds = static_cast<double>(kMeasureMs) / 1000;
  int agents = 0;
  for (const auto& node : fleet.mNodes) {
    const sim::Usage& usage = node.mUsage;
    double sent = static_cast<double>(usage.mSentBytes) / seconds;
    if (node.mRole == Role::Agent) {
      agents += 1;
      result.mCoreAgent += usage.mCpuSeconds / seconds;
      result.mSentAgent += sent;
    } else if (!node.mAgents.empty()) {
      result.mSent += sent / kEntriesWithAgents;
      result.mSentMost = std::max(result.mSentMost, sent);
      result.mReceived +=
        static_cast<double>(usage.mReceivedBytes + usage.mStoreBytes) /
        seconds / kEntriesWithAgents;
      result.mGossip +=
        static_cast<double>(usage.mGossipBytes) / seconds / kEntriesWithAgents;
      result.mCore += usage.mCpuSeconds / seconds / kEntriesWithAgents;
    }
  }
  for (const auto& node : fleet.mNodes) {
    if (node.mRole == Role::Entry) {
      TimeMs at = node.mSync.mVerifiedMs.value_or(0);
      result.mHeadAge =
        std::max(result.mHeadAge, static_cast<double>(fleet.mNow - at) / 1000);
    }
  }
  result.mCoreAgent /= agents;
  result.mSentAgent /= agents;
  result.mStoreCalls =
    static_cast<double>(fleet.mStore.mCalls - calls) / seconds;
  const Node& entry = fleet.mNodes[0];
  const Node& agent = fleet.mNodes[entry.mAgents[0]];
  result.mMegabytes = CopyMegabytes(entry.mSync) + CopyMegabytes(entry.mTable);
  result.mMegabytesAgent = CopyMegabytes(agent.mSync);
  fleet.RunUntil(end + kTailMs);
  for (const auto& accepted : fleet.mStore.mAccepted) {
    if (accepted.mAcceptedMs >= start && inForce.contains(accepted.mRevision)) {
      result.mInForce.push_back(
        static_cast<double>(inForce[accepted.mRevision] -
                            accepted.mAcceptedMs) /
        1000);
    } else if (accepted.mAcceptedMs >= start) {
      result.mInForce.push_back(1e9);
    }
  }
  std::sort(result.mInForce.begin(), result.mInForce.end());
  return result;
}

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  auto index = static_cast<std::size_t>(
    aShare * static_cast<double>(aSorted.size() - 1) + 0.5);
  return aSorted[index];
}

// The slope of a least-squares line through the sizes.
double
Slope(const std::vector<Measured>& aRuns, double Measured::*aValue)
{
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& run : aRuns) {
    n += 1;
    x += run.mEntries;
    y += run.*aValue;
    xx += static_cast<double>(run.mEntries) * run.mEntries;
    xy += run.mEntries * run.*aValue;
  }
  return (n * xy - x * y) / (n * xx - x * x);
}

} // namespace

// The traffic, processor time, memory and delay of the configuration and the
// membership, by fleet size, at 82,000 changes a day.
void
BenchControl(Results& aResults)
{
  std::vector<Measured> runs;
  for (int entries : { 24, 100, 204, 412 }) {
    runs.push_back(Run(entries, 20261204, aResults));
  }
  const Measured& full = runs.back();
  auto add = [&](const std::string& aName,
                 const std::string& aUnit,
                 double Measured::*aValue,
                 std::optional<double> aTarget) {
    Line line{ .mName = "control_" + aName,
               .mUnit = aUnit,
               .mBetter = Better::Lower,
               .mValues = { full.*aValue },
               .mBaselines = {},
               .mBound = {},
               .mTarget = aTarget };
    for (const auto& run : runs) {
      line.mBaselines.emplace_back("n" + std::to_string(run.mEntries),
                                   run.*aValue);
    }
    line.mBaselines.emplace_back("slope/100", 100 * Slope(runs, aValue));
    aResults.mLines.push_back(std::move(line));
  };
  add("sent", "B/s", &Measured::mSent, kTargetBytes);
  add("sent_most", "B/s", &Measured::mSentMost, kTargetBytes);
  add("received", "B/s", &Measured::mReceived, kTargetBytes);
  add("gossip_sent", "B/s", &Measured::mGossip, {});
  add("core", "share", &Measured::mCore, kTargetCore);
  add("memory", "MB", &Measured::mMegabytes, kTargetMegabytes);
  add("agent_sent", "B/s", &Measured::mSentAgent, kTargetBytes);
  add("agent_core", "share", &Measured::mCoreAgent, kTargetCore);
  add("agent_memory", "MB", &Measured::mMegabytesAgent, kTargetMegabytes);
  add("store_calls", "1/s", &Measured::mStoreCalls, {});
  add("head_age_max", "s", &Measured::mHeadAge, kTargetSeconds);
  for (const auto& [name, share] :
       { std::pair{ "p50", .5 }, { "p99", .99 }, { "max", 1. } }) {
    Line line{ .mName = std::string("control_in_force_") + name,
               .mUnit = "s",
               .mBetter = Better::Lower,
               .mValues = { Quantile(full.mInForce, share) },
               .mBaselines = {},
               .mBound = {},
               .mTarget = kTargetSeconds };
    for (const auto& run : runs) {
      line.mBaselines.emplace_back("n" + std::to_string(run.mEntries),
                                   Quantile(run.mInForce, share));
    }
    aResults.mLines.push_back(std::move(line));
  }
  // Store calls per entry must fall with the size of the fleet.
  aResults.mLines.push_back(
    { .mName = "control_store_growth",
      .mUnit = "ratio",
      .mBetter = Better::Lower,
      .mValues = { full.mStoreCalls / runs.front().mStoreCalls },
      .mBaselines = { { "fleet",
                        static_cast<double>(full.mEntries) /
                          runs.front().mEntries } },
      .mBound = {},
      .mTarget = static_cast<double>(full.mEntries) / runs.front().mEntries });
}

} // namespace savory::bench

#include "config_checker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory::sim {

namespace {

constexpr TimeMs kStalenessBoundMs = 9000;

} // namespace

Checker::Checker(Fleet& aFleet, const Configuration& aFirst)
  : mFleet(aFleet)
{
  mFleet.mObserver = {
    .mApplied =
      [this](int aNode, std::int64_t aRevision) {
        OnConfigApplied(aNode, aRevision);
      },
    .mWorkAccepted =
      [this](int aNode, std::int64_t aRevision) {
        OnWorkAccepted(aNode, aRevision);
      },
    .mWorkStarted =
      [this](int aAgent, std::int64_t aSenderRevision) {
        std::int64_t localRevision =
          mFleet.mNodes[aAgent].mSync.mConfig.mRevision;
        if (aSenderRevision < localRevision) {
          AddViolation(mFleet.mNodes[aAgent].mHost +
                       " ran work planned on revision " +
                       std::to_string(aSenderRevision) + " at " +
                       std::to_string(localRevision));
        }
        OnWorkAccepted(aAgent, localRevision);
      },
  };
  // The first configuration is in the store before the processes start.
  Change first = StartFirstConfiguration("first", aFirst);
  while (auto call = NextCall(first)) {
    StoreCallAnswer answer;
    for (const auto& key : call->mKeys) {
      answer.mValues.push_back(mFleet.mStore.mValues.contains(key)
                                 ? std::optional(mFleet.mStore.mValues[key])
                                 : std::nullopt);
    }
    for (const auto& [key, value] : call->mEntries) {
      mFleet.mStore.mValues[key] = value;
    }
    if (call->mKind == StoreCall::Kind::SwapHead) {
      mFleet.mStore.mValues[std::string(kHeadKey)] = call->mValue;
      mFleet.mStore.mAccepted.push_back({ 1, mFleet.mNow, call->mValue });
    }
    OnStoreAnswer(first, answer);
  }
}

void
Checker::AddViolation(const std::string& aText)
{
  mViolations.push_back("at " + std::to_string(mFleet.mNow) + " ms: " + aText);
}

Configuration
Checker::StoredConfiguration(std::size_t aIndex) const
{
  Head head = *ParseHead(mFleet.mStore.mAccepted[aIndex].mHeadText);
  std::vector<std::string> texts;
  for (const auto& key : head.mSections) {
    texts.push_back(mFleet.mStore.mValues.at(key));
  }
  return *AssembleConfiguration(head, texts);
}

void
Checker::OnConfigApplied(int aNode, std::int64_t aRevision)
{
  const Node& node = mFleet.mNodes[aNode];
  std::int64_t& last = mLastApplied[{ aNode, node.mIncarnation }];
  if (aRevision < last) {
    AddViolation(node.mHost + " went back from revision " +
                 std::to_string(last) + " to " + std::to_string(aRevision));
  }
  // A restarted entry must not apply a revision that is older than both the
  // newest that it had itself and the newest that more than half of the entries
  // have in force.
  if (last == 0 && node.mRole == Role::Entry) {
    std::vector<std::int64_t> revisions;
    for (const auto& other : mFleet.mNodes) {
      if (other.mRole == Role::Entry) {
        revisions.push_back(&other == &node ? 0
                                            : other.mSync.mConfig.mRevision);
      }
    }
    std::sort(revisions.rbegin(), revisions.rend());
    std::int64_t majority = revisions[revisions.size() / 2];
    if (aRevision < std::min(majority, mNewestApplied[aNode])) {
      AddViolation(node.mHost + " started with revision " +
                   std::to_string(aRevision) + " while most entries have " +
                   std::to_string(majority));
    }
  }
  last = aRevision;
  mNewestApplied[aNode] = std::max(mNewestApplied[aNode], aRevision);
  // The content must equal the accepted one, including the preset in force.
  const auto& accepted = mFleet.mStore.mAccepted;
  if (aRevision < 1 || aRevision > accepted.back().mRevision) {
    AddViolation(node.mHost + " applied a revision that was not accepted");
    return;
  }
  auto [stored, added] = mStoredDocuments.try_emplace(aRevision);
  if (added) {
    stored->second =
      ToJson(StoredConfiguration(static_cast<std::size_t>(aRevision) - 1));
  }
  if (stored->second != ToJson(node.mSync.mConfig)) {
    AddViolation(node.mHost + " has different content for revision " +
                 std::to_string(aRevision));
  }
}

void
Checker::OnWorkAccepted(int aNode, std::int64_t aRevision)
{
  mAcceptedWork += 1;
  const FakeStore& store = mFleet.mStore;
  if (!store.mUp || mFleet.mNow - store.mLastDownMs < kStalenessBoundMs) {
    return;
  }
  std::int64_t requiredRevision = 0;
  for (const auto& accepted : store.mAccepted) {
    if (accepted.mAcceptedMs < mFleet.mNow - kStalenessBoundMs) {
      requiredRevision = accepted.mRevision;
    }
  }
  if (aRevision < requiredRevision) {
    AddViolation(mFleet.mNodes[aNode].mHost + " accepted work on revision " +
                 std::to_string(aRevision) +
                 " beyond the staleness bound after " +
                 std::to_string(requiredRevision));
  }
}

// Compares each entry's view of whether its revision is in force everywhere
// with the revisions of the processes. A process without a configuration is
// exempt because it accepts no work.
void
Checker::CheckInForceEverywhere()
{
  for (auto& entry : mFleet.mNodes) {
    std::int64_t revision = entry.mSync.mConfig.mRevision;
    if (entry.mRole != Role::Entry || !entry.mUp || revision == 0) {
      continue;
    }
    bool everywhere = true;
    for (const auto& [host, member] : entry.mTable.mMembers) {
      bool self = host == entry.mHost;
      everywhere = everywhere && (member.mRole != Role::Entry || self ||
                                  member.mRevision >= revision);
    }
    std::vector<std::string> agents;
    for (int agent : entry.mAgents) {
      agents.push_back(mFleet.mNodes[agent].mHost);
    }
    everywhere =
      everywhere && FindUnconfirmed(entry.mSync, agents, revision).empty();
    for (const auto& node : mFleet.mNodes) {
      std::int64_t localRevision = node.mSync.mConfig.mRevision;
      if (everywhere && node.mUp && localRevision > 0 &&
          localRevision < revision) {
        AddViolation(entry.mHost + " says " + std::to_string(revision) +
                     " is in force everywhere, " + node.mHost + " has " +
                     std::to_string(localRevision));
      }
    }
  }
}

void
Checker::AddOperator(Operator aOperator, TimeMs aAtMs)
{
  mOperators.push_back(std::move(aOperator));
  std::size_t index = mOperators.size() - 1;
  mFleet.At(aAtMs, [this, index] { BeginChange(index); });
}

void
Checker::BeginChange(std::size_t aOperator)
{
  Operator& op = mOperators[aOperator];
  if (op.mNextChange >= op.mChanges.size()) {
    return;
  }
  std::string id = op.mName + "-" + std::to_string(op.mNextChange);
  mMutations[id] = op.mChanges[op.mNextChange];
  auto change = std::make_shared<Change>(
    StartChange(id, op.mChanges[op.mNextChange], op.mRetry));
  StepChange(aOperator, change, mFleet.mNow);
}

void
Checker::StepChange(std::size_t aOperator,
                    std::shared_ptr<Change> aChange,
                    TimeMs aStartMs)
{
  Operator& op = mOperators[aOperator];
  if (mFleet.mNow - aStartMs > op.mTimeoutMs) {
    AbandonChange(*aChange);
  }
  auto call = NextCall(*aChange);
  if (call) {
    mFleet.CallStore(
      op.mRegion,
      *call,
      [this, aOperator, aChange, aStartMs](const StoreCallAnswer& aAnswer) {
        OnStoreAnswer(*aChange, aAnswer);
        StepChange(aOperator, aChange, aStartMs);
      });
    return;
  }
  // When the outcome is unknown, the operator retries with the same id.
  op.mRetry = aChange->mState == ChangeState::Unknown;
  if (op.mRetry) {
    mFleet.At(mFleet.mNow + 1000,
              [this, aOperator] { BeginChange(aOperator); });
    return;
  }
  mOperatorReports.push_back(
    { aChange->mId, aChange->mState, aChange->mRevision });
  op.mNextChange += 1;
  mFleet.At(mFleet.mNow + op.mPauseMs,
            [this, aOperator] { BeginChange(aOperator); });
}

void
Checker::OfferWorkUntil(TimeMs aTimeMs)
{
  std::vector<int> entries;
  std::vector<int> agents;
  for (std::size_t i = 0; i < mFleet.mNodes.size(); ++i) {
    bool entry = mFleet.mNodes[i].mRole == Role::Entry;
    (entry ? entries : agents).push_back(static_cast<int>(i));
  }
  for (TimeMs at = mFleet.mNow; at < aTimeMs; at += 40) {
    mFleet.At(at, [this, entries, agents, at] {
      int agent = agents[mFleet.mRandom() % agents.size()];
      std::size_t home = mFleet.mNodes[agent].mHomeEntry + mFleet.mRandom() % 3;
      mFleet.OfferWork(entries[home % entries.size()], agent);
      if (at % 400 == 0) {
        CheckInForceEverywhere();
      }
    });
  }
}

void
Checker::Finish()
{
  const auto& accepted = mFleet.mStore.mAccepted;
  // 1. Each accepted revision is the result of its change applied to the
  // previous revision: no change was overwritten.
  std::map<std::string, std::int64_t> acceptedIds;
  for (std::size_t i = 1; i < accepted.size(); ++i) {
    Head head = *ParseHead(accepted[i].mHeadText);
    std::string id = head.mRecentOperations.back().mId;
    if (head.mRevision != accepted[i - 1].mRevision + 1 ||
        acceptedIds.contains(id)) {
      AddViolation("change " + id + " was accepted out of order or twice");
    }
    acceptedIds[id] = head.mRevision;
    Configuration expected = StoredConfiguration(i - 1);
    mMutations.at(id)(expected);
    expected.mRevision = head.mRevision;
    if (ToJson(expected) != ToJson(StoredConfiguration(i))) {
      AddViolation("change " + id + " overwrote another");
    }
  }
  // 2. The outcomes reported to operators are those in the store.
  for (const auto& report : mOperatorReports) {
    bool accepts = report.mState == ChangeState::Accepted;
    auto found = acceptedIds.find(report.mId);
    if (accepts != (found != acceptedIds.end()) ||
        (accepts && found->second != report.mRevision)) {
      AddViolation("operator was told that " + report.mId + " is " +
                   std::string(ToName(kChangeStateNames, report.mState)));
    }
  }
  for (const auto& op : mOperators) {
    if (op.mNextChange < op.mChanges.size()) {
      AddViolation(op.mName + " does not know the outcome of its changes");
    }
  }
  // 3. All live processes have the newest revision.
  for (const auto& node : mFleet.mNodes) {
    if (node.mUp && node.mSync.mConfig.mRevision != accepted.back().mRevision) {
      AddViolation(node.mHost + " ended with " +
                   std::to_string(node.mSync.mConfig.mRevision) + " of " +
                   std::to_string(accepted.back().mRevision));
    }
  }
}

} // namespace savory::sim

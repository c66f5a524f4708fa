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
    .mAdopted = [this](int aNode,
                       std::int64_t aRevision) { OnAdopted(aNode, aRevision); },
    .mWorkTaken = [this](int aNode,
                         std::int64_t aRevision) { OnWork(aNode, aRevision); },
    .mWorkRun =
      [this](int aAgent, std::int64_t aSender) {
        std::int64_t own = mFleet.mNodes[aAgent].mSync.mConfig.mRevision;
        if (aSender < own) {
          Fault(mFleet.mNodes[aAgent].mHost + " ran work planned on " +
                std::to_string(aSender) + " at " + std::to_string(own));
        }
        OnWork(aAgent, own);
      },
  };
  // The first configuration is there before the processes start.
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
Checker::Fault(const std::string& aText)
{
  mFaults.push_back("at " + std::to_string(mFleet.mNow) + " ms: " + aText);
}

Configuration
Checker::Stored(std::size_t aIndex) const
{
  Head head = *ParseHead(mFleet.mStore.mAccepted[aIndex].mHeadText);
  std::vector<std::string> texts;
  for (const auto& key : head.mSections) {
    texts.push_back(mFleet.mStore.mValues.at(key));
  }
  return *AssembleConfiguration(head, texts);
}

void
Checker::OnAdopted(int aNode, std::int64_t aRevision)
{
  const Node& node = mFleet.mNodes[aNode];
  std::int64_t& last = mInForce[{ aNode, node.mIncarnation }];
  if (aRevision < last) {
    Fault(node.mHost + " went back from " + std::to_string(last) + " to " +
          std::to_string(aRevision));
  }
  // A process that starts anew takes no less than what more than half of the
  // entries had in force when it started.
  if (last == 0 && node.mRole == Role::Entry) {
    std::vector<std::int64_t> held;
    for (const auto& other : mFleet.mNodes) {
      if (other.mRole == Role::Entry) {
        held.push_back(&other == &node ? 0 : other.mSync.mConfig.mRevision);
      }
    }
    std::sort(held.rbegin(), held.rend());
    std::int64_t majority = held[held.size() / 2];
    if (aRevision < std::min(majority, mHeldBefore[aNode])) {
      Fault(node.mHost + " started with " + std::to_string(aRevision) +
            " where most have " + std::to_string(majority));
    }
  }
  last = aRevision;
  mHeldBefore[aNode] = std::max(mHeldBefore[aNode], aRevision);
  // The content is the accepted one, and so is the preset in force.
  const auto& accepted = mFleet.mStore.mAccepted;
  if (aRevision < 1 || aRevision > accepted.back().mRevision) {
    Fault(node.mHost + " adopted a revision that was not accepted");
    return;
  }
  auto [stored, added] = mDocuments.try_emplace(aRevision);
  if (added) {
    stored->second = ToJson(Stored(static_cast<std::size_t>(aRevision) - 1));
  }
  if (stored->second != ToJson(node.mSync.mConfig)) {
    Fault(node.mHost + " has another content of " + std::to_string(aRevision));
  }
}

void
Checker::OnWork(int aNode, std::int64_t aRevision)
{
  mWork += 1;
  const FakeStore& store = mFleet.mStore;
  if (!store.mUp || mFleet.mNow - store.mLastDownMs < kStalenessBoundMs) {
    return;
  }
  std::int64_t due = 0;
  for (const auto& accepted : store.mAccepted) {
    if (accepted.mAtMs < mFleet.mNow - kStalenessBoundMs) {
      due = accepted.mRevision;
    }
  }
  if (aRevision < due) {
    Fault(mFleet.mNodes[aNode].mHost + " took work on " +
          std::to_string(aRevision) + " long after " + std::to_string(due));
  }
}

// Compares each entry's answer to "is the revision in force everywhere" with
// what the processes have. One without any takes no work.
void
Checker::CheckEverywhere()
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
      std::int64_t has = node.mSync.mConfig.mRevision;
      if (everywhere && node.mUp && has > 0 && has < revision) {
        Fault(entry.mHost + " says " + std::to_string(revision) +
              " is in force everywhere, " + node.mHost + " has " +
              std::to_string(has));
      }
    }
  }
}

void
Checker::AddOperator(Operator aOperator, TimeMs aAtMs)
{
  mOperators.push_back(std::move(aOperator));
  std::size_t index = mOperators.size() - 1;
  mFleet.At(aAtMs, [this, index] { Begin(index); });
}

void
Checker::Begin(std::size_t aOperator)
{
  Operator& who = mOperators[aOperator];
  if (who.mNextChange >= who.mChanges.size()) {
    return;
  }
  std::string id = who.mName + "-" + std::to_string(who.mNextChange);
  mMutations[id] = who.mChanges[who.mNextChange];
  auto change = std::make_shared<Change>(
    StartChange(id, who.mChanges[who.mNextChange], who.mRetry));
  Step(aOperator, change, mFleet.mNow);
}

void
Checker::Step(std::size_t aOperator,
              std::shared_ptr<Change> aChange,
              TimeMs aStartMs)
{
  Operator& who = mOperators[aOperator];
  if (mFleet.mNow - aStartMs > who.mTimeoutMs) {
    AbandonChange(*aChange);
  }
  auto call = NextCall(*aChange);
  if (call) {
    mFleet.CallStore(
      who.mRegion,
      *call,
      [this, aOperator, aChange, aStartMs](const StoreCallAnswer& aAnswer) {
        OnStoreAnswer(*aChange, aAnswer);
        Step(aOperator, aChange, aStartMs);
      });
    return;
  }
  // An operator that does not know asks again with the same id.
  who.mRetry = aChange->mState == ChangeState::Unknown;
  if (who.mRetry) {
    mFleet.At(mFleet.mNow + 1000, [this, aOperator] { Begin(aOperator); });
    return;
  }
  mOperatorReports.push_back(
    { aChange->mId, aChange->mState, aChange->mRevision });
  who.mNextChange += 1;
  mFleet.At(mFleet.mNow + who.mPauseMs,
            [this, aOperator] { Begin(aOperator); });
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
      std::size_t home = mFleet.mNodes[agent].mHome + mFleet.mRandom() % 3;
      mFleet.OfferWork(entries[home % entries.size()], agent);
      if (at % 400 == 0) {
        CheckEverywhere();
      }
    });
  }
}

void
Checker::Finish()
{
  const auto& accepted = mFleet.mStore.mAccepted;
  // 1. Each accepted change is in the configuration of its revision, made of
  // the one before it: none was overwritten.
  std::map<std::string, std::int64_t> marks;
  for (std::size_t i = 1; i < accepted.size(); ++i) {
    Head head = *ParseHead(accepted[i].mHeadText);
    std::string id = head.mRecentOperations.back().mId;
    if (head.mRevision != accepted[i - 1].mRevision + 1 || marks.contains(id)) {
      Fault("change " + id + " was accepted out of order or twice");
    }
    marks[id] = head.mRevision;
    Configuration expected = Stored(i - 1);
    mMutations.at(id)(expected);
    expected.mRevision = head.mRevision;
    if (ToJson(expected) != ToJson(Stored(i))) {
      Fault("change " + id + " overwrote another");
    }
  }
  // 2. Operators were told what the store has.
  for (const auto& told : mOperatorReports) {
    bool accepts = told.mState == ChangeState::Accepted;
    auto mark = marks.find(told.mId);
    if (accepts != (mark != marks.end()) ||
        (accepts && mark->second != told.mRevision)) {
      Fault("operator was told that " + told.mId + " is " +
            std::string(NameOf(kChangeStateNames, told.mState)));
    }
  }
  for (const auto& who : mOperators) {
    if (who.mNextChange < who.mChanges.size()) {
      Fault(who.mName + " does not know the outcome of its changes");
    }
  }
  // 3. All have the newest.
  for (const auto& node : mFleet.mNodes) {
    if (node.mUp && node.mSync.mConfig.mRevision != accepted.back().mRevision) {
      Fault(node.mHost + " ended with " +
            std::to_string(node.mSync.mConfig.mRevision) + " of " +
            std::to_string(accepted.back().mRevision));
    }
  }
}

} // namespace savory::sim

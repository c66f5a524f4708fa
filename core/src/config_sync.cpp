#include "savory/core/config_sync.h"

#include "savory/core/identity.h"

#include <algorithm>

namespace savory {

using nlohmann::json;

namespace {

// States of the head that wait for their revision to be adopted. Older ones
// are dropped first; a change a second and a lag of seconds need fewer.
constexpr std::size_t kMaxPending = 16;

// Time between rounds of questions of an entry that starts without the store.
constexpr TimeMs kStartEveryMs = 2000;

json
DocumentOf(const Configuration& aConfig)
{
  json document = ToJson(aConfig);
  document.erase("revision");
  return document;
}

std::uint64_t
HashDocument(const json& aDocument)
{
  return HashOf(aDocument.dump());
}

// A hash of each top-level field, by which a puller tells what it has.
json
FieldHashes(const json& aDocument)
{
  json hashes = json::object();
  for (const auto& [key, value] : aDocument.items()) {
    hashes[key] = HashDocument(value) & 0xffffffffU;
  }
  return hashes;
}

// Keeps a state of the head, and counts those that the configuration meets.
void
NoteVerified(ConfigSync& aSync, VerifiedHead aState)
{
  if (aSync.mConfig.mRevision >= aState.mRevision) {
    if (aSync.mConfig.mRevision > 0) {
      aSync.mVerifiedMs =
        std::max(aSync.mVerifiedMs.value_or(aState.mAtMs), aState.mAtMs);
    }
    return;
  }
  aSync.mPending.push_back(aState);
  if (aSync.mPending.size() > kMaxPending) {
    aSync.mPending.pop_front();
  }
}

// Puts a configuration in force when it is newer.
SyncActions
Adopt(ConfigSync& aSync, Configuration aConfig)
{
  if (aSync.mOptions.mOnlyNewer &&
      aConfig.mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  aSync.mConfig = std::move(aConfig);
  json document = DocumentOf(aSync.mConfig);
  std::uint64_t hash = HashDocument(document);
  aSync.mKept.push_back(
    { aSync.mConfig.mRevision, std::move(document), hash, {} });
  std::size_t most = aSync.mRole == Role::Entry ? kKeptDocuments : 1;
  while (aSync.mKept.size() > most) {
    aSync.mKept.pop_front();
  }
  aSync.mStartAnswers.clear();
  std::deque<VerifiedHead> pending = std::move(aSync.mPending);
  aSync.mPending.clear();
  for (const auto& state : pending) {
    NoteVerified(aSync, state);
  }
  SyncAction adopted;
  adopted.mKind = SyncAction::Kind::Adopted;
  adopted.mRevision = aSync.mConfig.mRevision;
  return { adopted };
}

bool
TimedOut(const std::optional<PendingCall>& aCall, TimeMs aNowMs)
{
  return aCall && aNowMs - aCall->mSentMs > aCall->mTimeoutMs;
}

// An action of the store with a new call number.
SyncAction
StoreAction(ConfigSync& aSync,
            SyncAction::Kind aKind,
            std::optional<PendingCall>& aPending,
            TimeMs aWaitMs,
            TimeMs aNowMs)
{
  aSync.mLastCall += 1;
  aPending = PendingCall{ aSync.mLastCall, aNowMs, aWaitMs + kStoreTimeoutMs };
  SyncAction action;
  action.mKind = aKind;
  action.mCall = aSync.mLastCall;
  action.mRevision = aSync.mConfig.mRevision;
  action.mWaitMs = aWaitMs;
  return action;
}

// Takes a pending call out when the number is its own.
std::optional<PendingCall>
TakeCall(std::optional<PendingCall>& aPending, std::int64_t aCall)
{
  if (!aPending || aPending->mCall != aCall) {
    return std::nullopt;
  }
  return std::exchange(aPending, std::nullopt);
}

// The texts of the sections in force that a head refers to; nothing for a
// section that has to be read.
std::vector<std::optional<std::string>>
KnownTexts(const ConfigSync& aSync, const Head& aHead)
{
  std::vector<std::optional<std::string>> texts(kSectionCount);
  if (aSync.mConfig.mRevision == 0) {
    return texts;
  }
  auto own = SectionTexts(aSync.mConfig);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (IsKeyOf(aHead.mSections[i], own[i])) {
      texts[i] = std::move(own[i]);
    }
  }
  return texts;
}

// A patch as it travels: one that only replaces values is a map of paths to
// values, which takes half the bytes.
json
Compact(json aPatch)
{
  json set = json::object();
  for (const auto& operation : aPatch) {
    auto path = operation.at("path").get<std::string>();
    if (operation.at("op") != "replace" || set.contains(path)) {
      return { { "patch", std::move(aPatch) } };
    }
    set[path] = operation.at("value");
  }
  return { { "set", std::move(set) } };
}

SyncAction
PullAction(ConfigSync& aSync, const std::string& aHost, TimeMs aNowMs)
{
  aSync.mPullFrom = aHost;
  aSync.mPullSentMs = aNowMs;
  SyncAction action;
  action.mKind = SyncAction::Kind::Pull;
  action.mHost = aHost;
  bool whole = aSync.mPullWhole || aSync.mKept.empty();
  action.mDocument = { { "known", whole ? 0 : aSync.mConfig.mRevision } };
  if (!whole) {
    action.mDocument["fields"] = FieldHashes(aSync.mKept.back().mDocument);
  }
  return action;
}

// Whether an entry has to hear the fleet before it takes a configuration.
bool
NeedsMajority(const ConfigSync& aSync)
{
  return aSync.mRole == Role::Entry && aSync.mConfig.mRevision == 0 &&
         aSync.mOptions.mMajorityAtStart;
}

// The questions of an entry that starts without the store, and the pull once
// enough have answered.
void
TickStart(ConfigSync& aSync,
          const std::vector<std::string>& aListed,
          TimeMs aNowMs,
          SyncActions& aActions)
{
  std::string newest;
  std::size_t answers = 0;
  for (const auto& host : aListed) {
    auto found = aSync.mStartAnswers.find(host);
    if (found == aSync.mStartAnswers.end()) {
      continue;
    }
    answers += 1;
    if (newest.empty() || found->second > aSync.mStartAnswers[newest]) {
      newest = host;
    }
  }
  // The list names the others; this entry is one more.
  if (2 * answers > aListed.size() + 1) {
    if (aNowMs - aSync.mPullSentMs > kPullTimeoutMs) {
      aActions.push_back(PullAction(aSync, newest, aNowMs));
    }
    return;
  }
  if (aNowMs < aSync.mNextStartMs) {
    return;
  }
  aSync.mNextStartMs = aNowMs + kStartEveryMs;
  for (const auto& host : aListed) {
    if (!aSync.mStartAnswers.contains(host)) {
      SyncAction action;
      action.mKind = SyncAction::Kind::Pull;
      action.mHost = host;
      action.mDocument = { { "revision_only", true } };
      aActions.push_back(std::move(action));
    }
  }
}

// The document that a patch or a set of fields makes of the one in force;
// throws json::exception when it does not fit.
json
ApplyDifference(const ConfigSync& aSync, const json& aAnswer)
{
  auto whole = aAnswer.find("whole");
  if (whole != aAnswer.end()) {
    return *whole;
  }
  if (aSync.mKept.empty()) {
    throw json::other_error::create(501, "no document to change", &aAnswer);
  }
  const json& base = aSync.mKept.back().mDocument;
  if (aAnswer.contains("base") &&
      aAnswer.at("base").get<std::int64_t>() != aSync.mConfig.mRevision) {
    throw json::other_error::create(501, "patch of another base", &aAnswer);
  }
  auto patch = aAnswer.find("patch");
  if (patch != aAnswer.end()) {
    return base.patch(*patch);
  }
  auto set = aAnswer.find("set");
  if (set != aAnswer.end()) {
    json changed = base;
    for (const auto& [path, value] : set->items()) {
      changed.at(json::json_pointer(path)) = value;
    }
    return changed;
  }
  json document = base;
  document.update(aAnswer.at("fields"));
  return document;
}

} // namespace

SyncActions
TickSync(ConfigSync& aSync,
         const FleetView& aView,
         const std::vector<std::string>& aListed,
         TimeMs aNowMs)
{
  SyncActions actions;
  if (aSync.mRole != Role::Entry) {
    return actions;
  }
  // 1. Calls without an answer.
  if (TimedOut(aSync.mHeadCall, aNowMs)) {
    OnStoreFailed(aSync, aSync.mHeadCall->mCall);
  }
  if (TimedOut(aSync.mSectionCall, aNowMs)) {
    OnStoreFailed(aSync, aSync.mSectionCall->mCall);
  }
  // 2. The next look at the head: watchers always, others when what they know
  // is old. A failed call is followed by a pause.
  bool old = !aSync.mVerifiedMs || aNowMs - *aSync.mVerifiedMs > kProbeAgeMs;
  bool watches = aView.mIsWatcher && !aSync.mStoreFailed;
  bool due =
    watches || ((old || aView.mIsWatcher) && aNowMs >= aSync.mNextProbeMs);
  if (due && !aSync.mHeadCall && !aSync.mSectionCall) {
    aSync.mNextProbeMs = aNowMs + kProbeEveryMs;
    bool wait = watches && aSync.mConfig.mRevision > 0;
    actions.push_back(StoreAction(aSync,
                                  SyncAction::Kind::WatchHead,
                                  aSync.mHeadCall,
                                  wait ? kWatchMs : 0,
                                  aNowMs));
  }
  // 3. The start without the store.
  if (NeedsMajority(aSync) && aSync.mStoreFailed) {
    TickStart(aSync, aListed, aNowMs, actions);
  }
  return actions;
}

SyncActions
OnHead(ConfigSync& aSync,
       std::int64_t aCall,
       const std::optional<std::string>& aText,
       TimeMs aNowMs)
{
  auto call = TakeCall(aSync.mHeadCall, aCall);
  if (!call) {
    return {};
  }
  aSync.mStoreOkMs = call->mSentMs;
  aSync.mStoreFailed = false;
  if (!aText) {
    return {};
  }
  auto head = ParseHead(*aText);
  if (!head) {
    aSync.mStoreFailed = true;
    return {};
  }
  NoteVerified(aSync, { head->mRevision, call->mSentMs });
  if (head->mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  SyncAction action = StoreAction(
    aSync, SyncAction::Kind::ReadSections, aSync.mSectionCall, 0, aNowMs);
  auto texts = KnownTexts(aSync, *head);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (!texts[i]) {
      action.mKeys.push_back(head->mSections[i]);
    }
  }
  aSync.mWantedHead = std::move(*head);
  if (action.mKeys.empty()) {
    return OnSections(aSync, action.mCall, {}, aNowMs);
  }
  return { action };
}

SyncActions
OnSections(ConfigSync& aSync,
           std::int64_t aCall,
           const std::vector<std::optional<std::string>>& aValues,
           TimeMs aNowMs)
{
  auto call = TakeCall(aSync.mSectionCall, aCall);
  if (!call || !aSync.mWantedHead ||
      aSync.mWantedHead->mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  (void)aNowMs;
  // The configuration in force may have changed since the call; what was read
  // then does not fill the gaps, and the next look at the head begins anew.
  auto texts = KnownTexts(aSync, *aSync.mWantedHead);
  std::vector<std::string> all;
  std::size_t next = 0;
  for (auto& text : texts) {
    if (!text && next < aValues.size()) {
      text = aValues[next++];
    }
    if (!text) {
      return {};
    }
    all.push_back(std::move(*text));
  }
  auto config = JoinSections(*aSync.mWantedHead, all);
  if (!config) {
    aSync.mStoreFailed = true;
    return {};
  }
  return Adopt(aSync, std::move(*config));
}

void
OnStoreFailed(ConfigSync& aSync, std::int64_t aCall)
{
  if (TakeCall(aSync.mHeadCall, aCall) || TakeCall(aSync.mSectionCall, aCall)) {
    aSync.mStoreFailed = true;
  }
}

SyncActions
OnPeerRevision(ConfigSync& aSync,
               const Sender& aPeer,
               bool aUrgent,
               TimeMs aNowMs)
{
  NoteConfirmed(aSync, aPeer, aNowMs);
  if (aPeer.mRevision <= aSync.mConfig.mRevision || NeedsMajority(aSync)) {
    return {};
  }
  TimeMs since = aNowMs - aSync.mPullSentMs;
  bool free = aSync.mPullFrom.empty() || since > kPullTimeoutMs;
  if (!aUrgent && (!free || since < kPullEveryMs)) {
    return {};
  }
  return { PullAction(aSync, aPeer.mHost, aNowMs) };
}

void
OnPeerVerified(ConfigSync& aSync, std::int64_t aRevision, TimeMs aAtMs)
{
  NoteVerified(aSync, { aRevision, aAtMs });
}

json
AnswerPull(ConfigSync& aSync, const json& aRequest)
{
  json answer = { { "revision", aSync.mConfig.mRevision } };
  std::int64_t known = 0;
  if (aRequest.is_object() && aRequest.contains("known") &&
      aRequest["known"].is_number_integer()) {
    known = aRequest["known"].get<std::int64_t>();
  }
  bool revisionOnly =
    aRequest.is_object() && aRequest.contains("revision_only");
  if (aSync.mKept.empty() || revisionOnly || known >= aSync.mConfig.mRevision) {
    return answer;
  }
  KeptDocument& newest = aSync.mKept.back();
  answer["hash"] = newest.mHash;
  for (const auto& kept : aSync.mKept) {
    if (kept.mRevision != known) {
      continue;
    }
    auto [patch, added] = newest.mPatches.try_emplace(known);
    if (added) {
      patch->second = Compact(json::diff(kept.mDocument, newest.mDocument));
    }
    answer["base"] = known;
    answer.update(patch->second);
    return answer;
  }
  auto fields = aRequest.is_object() ? aRequest.find("fields") : aRequest.end();
  if (known == 0 || fields == aRequest.end() || !fields->is_object()) {
    answer["whole"] = newest.mDocument;
    return answer;
  }
  json differing = json::object();
  json hashes = FieldHashes(newest.mDocument);
  for (const auto& [key, value] : newest.mDocument.items()) {
    if (!fields->contains(key) || (*fields)[key] != hashes[key]) {
      differing[key] = value;
    }
  }
  answer["fields"] = std::move(differing);
  return answer;
}

SyncActions
OnPullAnswer(ConfigSync& aSync,
             const std::string& aHost,
             const json& aAnswer,
             TimeMs aNowMs)
{
  bool asked = aSync.mPullFrom == aHost;
  if (asked) {
    aSync.mPullFrom.clear();
  }
  try {
    auto revision = aAnswer.at("revision").get<std::int64_t>();
    if (NeedsMajority(aSync)) {
      if (revision > 0) {
        std::int64_t& answer = aSync.mStartAnswers[aHost];
        answer = std::max(answer, revision);
      } else {
        aSync.mStartAnswers.erase(aHost);
      }
      if (!asked) {
        return {};
      }
    }
    if (revision <= aSync.mConfig.mRevision && aSync.mOptions.mOnlyNewer) {
      return {};
    }
    if (!aAnswer.contains("hash")) {
      return {};
    }
    json document = ApplyDifference(aSync, aAnswer);
    if (HashDocument(document) != aAnswer.at("hash").get<std::uint64_t>()) {
      throw json::other_error::create(501, "other hash", &aAnswer);
    }
    document["revision"] = revision;
    auto config = ParseConfiguration(document);
    if (!config) {
      return {};
    }
    aSync.mPullWhole = false;
    return Adopt(aSync, std::move(*config));
  } catch (const json::exception&) {
    if (aAnswer.is_object() && aAnswer.contains("whole")) {
      return {};
    }
    aSync.mPullWhole = true;
    return { PullAction(aSync, aHost, aNowMs) };
  }
}

void
OnPullFailed(ConfigSync& aSync, const std::string& aHost)
{
  if (aSync.mPullFrom == aHost) {
    aSync.mPullFrom.clear();
  }
}

SyncActions
PushToAgents(ConfigSync& aSync,
             const std::vector<std::string>& aAgents,
             TimeMs aNowMs)
{
  SyncActions actions;
  for (const auto& agent : aAgents) {
    auto confirmed = aSync.mConfirmed.find(agent);
    if (confirmed == aSync.mConfirmed.end() ||
        confirmed->second.mRevision >= aSync.mConfig.mRevision) {
      continue;
    }
    auto [pushed, first] = aSync.mPushedMs.try_emplace(agent, aNowMs);
    if (!first && aNowMs - pushed->second < kPushEveryMs) {
      continue;
    }
    pushed->second = aNowMs;
    SyncAction action;
    action.mKind = SyncAction::Kind::Push;
    action.mHost = agent;
    action.mDocument =
      AnswerPull(aSync, { { "known", confirmed->second.mRevision } });
    actions.push_back(std::move(action));
  }
  return actions;
}

bool
ReachesStore(const ConfigSync& aSync, TimeMs aNowMs)
{
  return aSync.mStoreOkMs && aNowMs - *aSync.mStoreOkMs <= kReachMs;
}

namespace {

// Whether the fleet is in an outage of the store, in which nothing can be
// accepted: this entry failed to reach it, and more than half of the entries
// were heard from lately, none of which reaches it.
bool
IsOutage(const ConfigSync& aSync, const FleetView& aView, TimeMs aNowMs)
{
  return aSync.mStoreFailed && !ReachesStore(aSync, aNowMs) &&
         !aView.mPeerReachesStore &&
         2 * aView.mEntriesWithHeartbeat > aView.mEntries;
}

} // namespace

Freshness
JudgeFreshness(const ConfigSync& aSync, const FleetView& aView, TimeMs aNowMs)
{
  if (aSync.mConfig.mRevision == 0) {
    return Freshness::None;
  }
  if (!aSync.mOptions.mRefuseStale ||
      (aSync.mVerifiedMs && aNowMs - *aSync.mVerifiedMs <= kFreshMs)) {
    return Freshness::Fresh;
  }
  return IsOutage(aSync, aView, aNowMs) ? Freshness::StoreOutage
                                        : Freshness::Stale;
}

WorkStamp
StampWork(const ConfigSync& aSync,
          const FleetView& aView,
          TimeMs aEchoMs,
          TimeMs aNowMs)
{
  WorkStamp stamp{ aSync.mConfig.mRevision, aEchoMs, kFreshMs };
  Freshness freshness = JudgeFreshness(aSync, aView, aNowMs);
  // In an outage the age does not count even while it is still fresh: the agent
  // adds the age of its last report, and would refuse work for the last second
  // before the entry itself turns to the rule of the outage.
  if (freshness != Freshness::Stale && freshness != Freshness::None &&
      IsOutage(aSync, aView, aNowMs)) {
    stamp.mVerifiedAgeMs = 0;
  } else if (freshness == Freshness::Fresh && aSync.mVerifiedMs) {
    stamp.mVerifiedAgeMs = aNowMs - *aSync.mVerifiedMs;
  }
  return stamp;
}

SenderJudgement
JudgeWork(ConfigSync& aSync, const WorkStamp& aStamp, TimeMs aNowMs)
{
  SenderJudgement judgement = JudgeSender(aSync, aStamp.mRevision);
  if (aStamp.mEchoMs <= aNowMs) {
    OnPeerVerified(
      aSync, aStamp.mRevision, aStamp.mEchoMs - aStamp.mVerifiedAgeMs);
  }
  if (judgement == SenderJudgement::Accept &&
      JudgeFreshness(aSync, {}, aNowMs) != Freshness::Fresh) {
    return SenderJudgement::RefuseStale;
  }
  return judgement;
}

SenderJudgement
JudgeSender(const ConfigSync& aSync, std::int64_t aRevision)
{
  if (aRevision > aSync.mConfig.mRevision) {
    return SenderJudgement::PullFirst;
  }
  if (aSync.mConfig.mRevision == 0) {
    return SenderJudgement::RefuseNoConfiguration;
  }
  if (aRevision < aSync.mConfig.mRevision && aSync.mOptions.mRefuseOlder) {
    return SenderJudgement::RefuseOlder;
  }
  return SenderJudgement::Accept;
}

GossipStatus
StatusOf(const ConfigSync& aSync,
         const std::vector<std::string>& aAgents,
         TimeMs aNowMs)
{
  GossipStatus status;
  status.mRevision = aSync.mConfig.mRevision;
  status.mConfirmed = aSync.mConfig.mRevision;
  for (const auto& agent : aAgents) {
    auto found = aSync.mConfirmed.find(agent);
    std::int64_t revision =
      found == aSync.mConfirmed.end() ? 0 : found->second.mRevision;
    status.mConfirmed = std::min(status.mConfirmed, revision);
  }
  if (aSync.mVerifiedMs) {
    status.mHeadAgeMs = aNowMs - *aSync.mVerifiedMs;
  }
  status.mReachesStore = ReachesStore(aSync, aNowMs);
  return status;
}

void
NoteConfirmed(ConfigSync& aSync, const Sender& aPeer, TimeMs aNowMs)
{
  auto [found, added] = aSync.mConfirmed.try_emplace(aPeer.mHost);
  Confirmation& known = found->second;
  if (added && aSync.mConfirmed.size() > kMaxMembers) {
    aSync.mConfirmed.erase(found);
    return;
  }
  if (aPeer.mIncarnation < known.mIncarnation ||
      (aPeer.mIncarnation == known.mIncarnation &&
       aPeer.mRevision < known.mRevision)) {
    return;
  }
  known = { aPeer.mIncarnation, aPeer.mRevision, aNowMs };
}

void
ForgetMember(ConfigSync& aSync, const std::string& aHost)
{
  aSync.mConfirmed.erase(aHost);
  aSync.mPushedMs.erase(aHost);
}

std::vector<std::string>
Unconfirmed(const ConfigSync& aSync,
            const std::vector<std::string>& aExpected,
            std::int64_t aRevision)
{
  std::vector<std::string> missing;
  for (const auto& host : aExpected) {
    auto found = aSync.mConfirmed.find(host);
    if (found == aSync.mConfirmed.end() ||
        found->second.mRevision < aRevision) {
      missing.push_back(host);
    }
  }
  return missing;
}

} // namespace savory

#include "savory/core/config_sync.h"

#include "savory/core/identity.h"

#include <algorithm>

namespace savory {

using nlohmann::json;

namespace {

// The number of verified states of the head kept until their revision is in
// force; the oldest are dropped first. A change a second and a lag of seconds
// need fewer.
constexpr std::size_t kMaxPendingHeads = 16;

// The interval at which an entry that starts without the store queries the
// other entries.
constexpr TimeMs kStartQueryIntervalMs = 2000;

json
MakeDocument(const Configuration& aConfig)
{
  json document = ToJson(aConfig);
  document.erase("revision");
  return document;
}

std::uint64_t
HashDocument(const json& aDocument)
{
  return Hash64(aDocument.dump());
}

// A hash of each top-level field, which tells the answering peer which fields
// the puller has.
json
FieldHashes(const json& aDocument)
{
  json hashes = json::object();
  for (const auto& [key, value] : aDocument.items()) {
    hashes[key] = HashDocument(value) & 0xffffffffU;
  }
  return hashes;
}

// Advances `mVerifiedMs` to a verified state of the head whose revision is in
// force; keeps any other until its revision is.
void
AddVerifiedHead(ConfigSync& aSync, VerifiedHead aState)
{
  if (aSync.mConfig.mRevision >= aState.mRevision) {
    if (aSync.mConfig.mRevision > 0) {
      aSync.mVerifiedMs = std::max(
        aSync.mVerifiedMs.value_or(aState.mVerifiedMs), aState.mVerifiedMs);
    }
    return;
  }
  aSync.mPendingHeads.push_back(aState);
  if (aSync.mPendingHeads.size() > kMaxPendingHeads) {
    aSync.mPendingHeads.pop_front();
  }
}

// Puts a configuration in force when it is newer.
SyncActions
ApplyConfiguration(ConfigSync& aSync, Configuration aConfig)
{
  if (aSync.mOptions.mApplyOnlyNewer &&
      aConfig.mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  aSync.mConfig = std::move(aConfig);
  json document = MakeDocument(aSync.mConfig);
  std::uint64_t hash = HashDocument(document);
  aSync.mKeptDocuments.push_back(
    { aSync.mConfig.mRevision, std::move(document), hash, {} });
  std::size_t maxKept = aSync.mRole == Role::Entry ? kMaxKeptDocuments : 1;
  while (aSync.mKeptDocuments.size() > maxKept) {
    aSync.mKeptDocuments.pop_front();
  }
  aSync.mStartRevisions.clear();
  std::deque<VerifiedHead> pending = std::move(aSync.mPendingHeads);
  aSync.mPendingHeads.clear();
  for (const auto& state : pending) {
    AddVerifiedHead(aSync, state);
  }
  SyncAction applied;
  applied.mKind = SyncAction::Kind::Applied;
  applied.mRevision = aSync.mConfig.mRevision;
  return { applied };
}

bool
HasTimedOut(const std::optional<PendingCall>& aCall, TimeMs aNowMs)
{
  return aCall && aNowMs - aCall->mSentMs > aCall->mTimeoutMs;
}

// An action that calls the store, with a new call id.
SyncAction
MakeStoreAction(ConfigSync& aSync,
                SyncAction::Kind aKind,
                std::optional<PendingCall>& aPending,
                TimeMs aWaitMs,
                TimeMs aNowMs)
{
  aSync.mLastCallId += 1;
  aPending =
    PendingCall{ aSync.mLastCallId, aNowMs, aWaitMs + kStoreTimeoutMs };
  SyncAction action;
  action.mKind = aKind;
  action.mCallId = aSync.mLastCallId;
  action.mRevision = aSync.mConfig.mRevision;
  action.mWaitMs = aWaitMs;
  return action;
}

// Removes and returns the pending call when it has the id `aCallId`.
std::optional<PendingCall>
ExtractCall(std::optional<PendingCall>& aPending, std::int64_t aCallId)
{
  if (!aPending || aPending->mCallId != aCallId) {
    return std::nullopt;
  }
  return std::exchange(aPending, std::nullopt);
}

// The texts of the local sections that a head refers to; nothing for a section
// that must be read from the store.
std::vector<std::optional<std::string>>
FindLocalSections(const ConfigSync& aSync, const Head& aHead)
{
  std::vector<std::optional<std::string>> texts(kSectionCount);
  if (aSync.mConfig.mRevision == 0) {
    return texts;
  }
  auto localTexts = SerializeSections(aSync.mConfig);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (MatchesSectionKey(aHead.mSections[i], localTexts[i])) {
      texts[i] = std::move(localTexts[i]);
    }
  }
  return texts;
}

// The encoding of a JSON patch in a message: a patch that only replaces values
// becomes a map from path to value, which takes half the bytes.
json
CompactPatch(json aPatch)
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
MakePullAction(ConfigSync& aSync, const std::string& aHost, TimeMs aNowMs)
{
  aSync.mPullHost = aHost;
  aSync.mPullSentMs = aNowMs;
  SyncAction action;
  action.mKind = SyncAction::Kind::Pull;
  action.mHost = aHost;
  bool whole = aSync.mPullWholeDocument || aSync.mKeptDocuments.empty();
  action.mDocument = { { "known", whole ? 0 : aSync.mConfig.mRevision } };
  if (!whole) {
    action.mDocument["fields"] =
      FieldHashes(aSync.mKeptDocuments.back().mDocument);
  }
  return action;
}

// Whether an entry must hear from a majority of the entries before it pulls a
// configuration.
bool
NeedsMajority(const ConfigSync& aSync)
{
  return aSync.mRole == Role::Entry && aSync.mConfig.mRevision == 0 &&
         aSync.mOptions.mStartNeedsMajority;
}

// Queries the revisions of the other entries when an entry starts without the
// store, and pulls the newest once enough have answered.
void
QueryStartRevisions(ConfigSync& aSync,
                    const std::vector<std::string>& aListedEntries,
                    TimeMs aNowMs,
                    SyncActions& aActions)
{
  std::string newest;
  std::size_t answers = 0;
  for (const auto& host : aListedEntries) {
    auto found = aSync.mStartRevisions.find(host);
    if (found == aSync.mStartRevisions.end()) {
      continue;
    }
    answers += 1;
    if (newest.empty() || found->second > aSync.mStartRevisions[newest]) {
      newest = host;
    }
  }
  // The list does not include this entry, which also counts.
  if (2 * answers > aListedEntries.size() + 1) {
    if (aNowMs - aSync.mPullSentMs > kPullTimeoutMs) {
      aActions.push_back(MakePullAction(aSync, newest, aNowMs));
    }
    return;
  }
  if (aNowMs < aSync.mNextStartQueryMs) {
    return;
  }
  aSync.mNextStartQueryMs = aNowMs + kStartQueryIntervalMs;
  for (const auto& host : aListedEntries) {
    if (!aSync.mStartRevisions.contains(host)) {
      SyncAction action;
      action.mKind = SyncAction::Kind::Pull;
      action.mHost = host;
      action.mDocument = { { "revision_only", true } };
      aActions.push_back(std::move(action));
    }
  }
}

// The whole document of an answer, or the result of applying its patch or set
// of fields to the document in force. Throws json::exception when it does not
// apply.
json
ApplyDifference(const ConfigSync& aSync, const json& aAnswer)
{
  auto whole = aAnswer.find("whole");
  if (whole != aAnswer.end()) {
    return *whole;
  }
  if (aSync.mKeptDocuments.empty()) {
    throw json::other_error::create(
      501, "a difference requires a local document", &aAnswer);
  }
  const json& base = aSync.mKeptDocuments.back().mDocument;
  if (aAnswer.contains("base") &&
      aAnswer.at("base").get<std::int64_t>() != aSync.mConfig.mRevision) {
    throw json::other_error::create(
      501, "the patch's base is not the local revision", &aAnswer);
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
         const std::vector<std::string>& aListedEntries,
         TimeMs aNowMs)
{
  SyncActions actions;
  if (aSync.mRole != Role::Entry) {
    return actions;
  }
  // 1. Calls that timed out.
  if (HasTimedOut(aSync.mHeadCall, aNowMs)) {
    OnStoreFailed(aSync, aSync.mHeadCall->mCallId);
  }
  if (HasTimedOut(aSync.mSectionCall, aNowMs)) {
    OnStoreFailed(aSync, aSync.mSectionCall->mCallId);
  }
  // 2. The next read of the head: watchers always read it, others when
  // their verified state is old. A failed call is followed by a pause.
  bool headIsOld =
    !aSync.mVerifiedMs || aNowMs - *aSync.mVerifiedMs > kProbeHeadAgeMs;
  bool watches = aView.mIsWatcher && !aSync.mStoreFailed;
  bool due = watches ||
             ((headIsOld || aView.mIsWatcher) && aNowMs >= aSync.mNextProbeMs);
  if (due && !aSync.mHeadCall && !aSync.mSectionCall) {
    aSync.mNextProbeMs = aNowMs + kProbeIntervalMs;
    bool wait = watches && aSync.mConfig.mRevision > 0;
    actions.push_back(MakeStoreAction(aSync,
                                      SyncAction::Kind::WatchHead,
                                      aSync.mHeadCall,
                                      wait ? kWatchDurationMs : 0,
                                      aNowMs));
  }
  // 3. A start without the store.
  if (NeedsMajority(aSync) && aSync.mStoreFailed) {
    QueryStartRevisions(aSync, aListedEntries, aNowMs, actions);
  }
  return actions;
}

SyncActions
OnHead(ConfigSync& aSync,
       std::int64_t aCallId,
       const std::optional<std::string>& aText,
       TimeMs aNowMs)
{
  auto call = ExtractCall(aSync.mHeadCall, aCallId);
  if (!call) {
    return {};
  }
  aSync.mStoreReachedMs = call->mSentMs;
  aSync.mStoreFailed = false;
  if (!aText) {
    return {};
  }
  auto head = ParseHead(*aText);
  if (!head) {
    aSync.mStoreFailed = true;
    return {};
  }
  AddVerifiedHead(aSync, { head->mRevision, call->mSentMs });
  if (head->mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  SyncAction action = MakeStoreAction(
    aSync, SyncAction::Kind::ReadSections, aSync.mSectionCall, 0, aNowMs);
  auto texts = FindLocalSections(aSync, *head);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (!texts[i]) {
      action.mKeys.push_back(head->mSections[i]);
    }
  }
  aSync.mLoadingHead = std::move(*head);
  if (action.mKeys.empty()) {
    return OnSections(aSync, action.mCallId, {}, aNowMs);
  }
  return { action };
}

SyncActions
OnSections(ConfigSync& aSync,
           std::int64_t aCallId,
           const std::vector<std::optional<std::string>>& aValues,
           TimeMs aNowMs)
{
  auto call = ExtractCall(aSync.mSectionCall, aCallId);
  if (!call || !aSync.mLoadingHead ||
      aSync.mLoadingHead->mRevision <= aSync.mConfig.mRevision) {
    return {};
  }
  (void)aNowMs;
  // The configuration in force may have changed since the call. Then the values
  // that were read do not complete the missing sections, and the next read of
  // the head starts over.
  auto texts = FindLocalSections(aSync, *aSync.mLoadingHead);
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
  auto config = AssembleConfiguration(*aSync.mLoadingHead, all);
  if (!config) {
    aSync.mStoreFailed = true;
    return {};
  }
  return ApplyConfiguration(aSync, std::move(*config));
}

void
OnStoreFailed(ConfigSync& aSync, std::int64_t aCallId)
{
  if (ExtractCall(aSync.mHeadCall, aCallId) ||
      ExtractCall(aSync.mSectionCall, aCallId)) {
    aSync.mStoreFailed = true;
  }
}

SyncActions
OnPeerRevision(ConfigSync& aSync,
               const Sender& aPeer,
               bool aUrgent,
               TimeMs aNowMs)
{
  OnConfirmed(aSync, aPeer, aNowMs);
  if (aPeer.mRevision <= aSync.mConfig.mRevision || NeedsMajority(aSync)) {
    return {};
  }
  TimeMs since = aNowMs - aSync.mPullSentMs;
  bool pullIsFree = aSync.mPullHost.empty() || since > kPullTimeoutMs;
  if (!aUrgent && (!pullIsFree || since < kPullIntervalMs)) {
    return {};
  }
  return { MakePullAction(aSync, aPeer.mHost, aNowMs) };
}

void
MergeVerifiedHead(ConfigSync& aSync, std::int64_t aRevision, TimeMs aVerifiedMs)
{
  AddVerifiedHead(aSync, { aRevision, aVerifiedMs });
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
  if (aSync.mKeptDocuments.empty() || revisionOnly ||
      known >= aSync.mConfig.mRevision) {
    return answer;
  }
  KeptDocument& newest = aSync.mKeptDocuments.back();
  answer["hash"] = newest.mHash;
  for (const auto& kept : aSync.mKeptDocuments) {
    if (kept.mRevision != known) {
      continue;
    }
    auto [patch, added] = newest.mPatches.try_emplace(known);
    if (added) {
      patch->second =
        CompactPatch(json::diff(kept.mDocument, newest.mDocument));
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
  bool asked = aSync.mPullHost == aHost;
  if (asked) {
    aSync.mPullHost.clear();
  }
  try {
    auto revision = aAnswer.at("revision").get<std::int64_t>();
    if (NeedsMajority(aSync)) {
      if (revision > 0) {
        std::int64_t& answer = aSync.mStartRevisions[aHost];
        answer = std::max(answer, revision);
      } else {
        aSync.mStartRevisions.erase(aHost);
      }
      if (!asked) {
        return {};
      }
    }
    if (revision <= aSync.mConfig.mRevision && aSync.mOptions.mApplyOnlyNewer) {
      return {};
    }
    if (!aAnswer.contains("hash")) {
      return {};
    }
    json document = ApplyDifference(aSync, aAnswer);
    if (HashDocument(document) != aAnswer.at("hash").get<std::uint64_t>()) {
      throw json::other_error::create(
        501, "the document does not have the announced hash", &aAnswer);
    }
    document["revision"] = revision;
    auto config = ParseConfiguration(document);
    if (!config) {
      return {};
    }
    aSync.mPullWholeDocument = false;
    return ApplyConfiguration(aSync, std::move(*config));
  } catch (const json::exception&) {
    if (aAnswer.is_object() && aAnswer.contains("whole")) {
      return {};
    }
    aSync.mPullWholeDocument = true;
    return { MakePullAction(aSync, aHost, aNowMs) };
  }
}

void
OnPullFailed(ConfigSync& aSync, const std::string& aHost)
{
  if (aSync.mPullHost == aHost) {
    aSync.mPullHost.clear();
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
    auto [pushed, first] = aSync.mLastPushMs.try_emplace(agent, aNowMs);
    if (!first && aNowMs - pushed->second < kPushIntervalMs) {
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
  return aSync.mStoreReachedMs &&
         aNowMs - *aSync.mStoreReachedMs <= kStoreReachableMs;
}

namespace {

// Whether the store is down for the whole fleet, so that no change can be
// accepted: this entry failed to reach it, and more than half of the entries
// were heard from recently, none of which reaches it.
bool
IsStoreOutage(const ConfigSync& aSync, const FleetView& aView, TimeMs aNowMs)
{
  return aSync.mStoreFailed && !ReachesStore(aSync, aNowMs) &&
         !aView.mPeerReachesStore &&
         2 * aView.mEntriesWithHeartbeat > aView.mEntries;
}

} // namespace

Freshness
EvaluateFreshness(const ConfigSync& aSync,
                  const FleetView& aView,
                  TimeMs aNowMs)
{
  if (aSync.mConfig.mRevision == 0) {
    return Freshness::None;
  }
  if (!aSync.mOptions.mRefuseWhenStale ||
      (aSync.mVerifiedMs && aNowMs - *aSync.mVerifiedMs <= kMaxHeadAgeMs)) {
    return Freshness::Fresh;
  }
  return IsStoreOutage(aSync, aView, aNowMs) ? Freshness::StoreOutage
                                             : Freshness::Stale;
}

WorkFreshness
MakeWorkFreshness(const ConfigSync& aSync,
                  const FleetView& aView,
                  TimeMs aReportClockMs,
                  TimeMs aNowMs)
{
  WorkFreshness result{ aSync.mConfig.mRevision,
                        aReportClockMs,
                        kMaxHeadAgeMs };
  Freshness freshness = EvaluateFreshness(aSync, aView, aNowMs);
  // In an outage the age is sent as 0 even while it is below the limit: the
  // agent adds the age of its last report, and would refuse work in the last
  // second before the entry itself switches to the outage rule.
  if (freshness != Freshness::Stale && freshness != Freshness::None &&
      IsStoreOutage(aSync, aView, aNowMs)) {
    result.mHeadAgeMs = 0;
  } else if (freshness == Freshness::Fresh && aSync.mVerifiedMs) {
    result.mHeadAgeMs = aNowMs - *aSync.mVerifiedMs;
  }
  return result;
}

RevisionCheck
CheckWorkFreshness(ConfigSync& aSync,
                   const WorkFreshness& aFreshness,
                   TimeMs aNowMs)
{
  RevisionCheck check = CheckSenderRevision(aSync, aFreshness.mRevision);
  if (aFreshness.mReportClockMs <= aNowMs) {
    MergeVerifiedHead(aSync,
                      aFreshness.mRevision,
                      aFreshness.mReportClockMs - aFreshness.mHeadAgeMs);
  }
  if (check == RevisionCheck::Accept &&
      EvaluateFreshness(aSync, {}, aNowMs) != Freshness::Fresh) {
    return RevisionCheck::RefuseStale;
  }
  return check;
}

RevisionCheck
CheckSenderRevision(const ConfigSync& aSync, std::int64_t aRevision)
{
  if (aRevision > aSync.mConfig.mRevision) {
    return RevisionCheck::PullFirst;
  }
  if (aSync.mConfig.mRevision == 0) {
    return RevisionCheck::RefuseNoConfiguration;
  }
  if (aRevision < aSync.mConfig.mRevision &&
      aSync.mOptions.mRefuseOlderSender) {
    return RevisionCheck::RefuseOlder;
  }
  return RevisionCheck::Accept;
}

GossipStatus
MakeGossipStatus(const ConfigSync& aSync,
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
OnConfirmed(ConfigSync& aSync, const Sender& aPeer, TimeMs aNowMs)
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
RemoveMember(ConfigSync& aSync, const std::string& aHost)
{
  aSync.mConfirmed.erase(aHost);
  aSync.mLastPushMs.erase(aHost);
}

std::vector<std::string>
FindUnconfirmed(const ConfigSync& aSync,
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

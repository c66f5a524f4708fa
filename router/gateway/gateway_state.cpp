#include "gateway_state.h"

#include "savory/net/log.h"
#include "savory/net/loop.h"
#include "savory/platform/fleet_documents.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

void
LogBadDocument(const StoreEntry& aEntry, const std::string& aReason)
{
  LogEvent(Event::DocumentIgnored,
           { { "key", aEntry.mKey },
             { "revision", std::to_string(aEntry.mModRevision) },
             { "reason", aReason } });
}

void
LogDrainEnded(const ServerProcess& aProcess, const char* aReason)
{
  LogEvent(Event::DrainEnded,
           { { "runner", aProcess.first },
             { "started", std::to_string(aProcess.second) },
             { "reason", aReason } });
}

StateChange
ApplyTable(GatewayState& aState, const StoreEntry& aEntry)
{
  TimeMs startMs = MonotonicMs();
  auto table = ParseRouteTable(aEntry.mValue, &aState.mRouteRows);
  if (!table) {
    LogEvent(Event::ConfigRefused, { { "reason", table.error() } });
    return StateChange::None;
  }
  if (!IsNewer(aState.mTable.get(), *table)) {
    return StateChange::None;
  }
  LogEvent(Event::ConfigAdopted,
           { { "version", std::to_string(table->mVersion) },
             { "revision", std::to_string(aEntry.mModRevision) },
             { "services", std::to_string(table->mServices.size()) },
             { "keys", std::to_string(table->mKeys.size()) },
             { "bytes", std::to_string(aEntry.mValue.size()) },
             { "routes_read", std::to_string(aState.mRouteRows.mReadCount) },
             { "parse_ms", std::to_string(MonotonicMs() - startMs) } });
  aState.mTable = std::make_shared<const RouteTable>(std::move(*table));
  return StateChange::Table;
}

StateChange
ApplyRunner(GatewayState& aState,
            const std::string& aId,
            const StoreEntry& aEntry,
            TimeMs aNowMs)
{
  auto registration = ParseRegistration(aId, aEntry.mValue);
  if (registration && !ParseEndpoint(registration->mAddress)) {
    registration = tl::unexpected("address '" + registration->mAddress +
                                  "': expected IP:PORT");
  }
  if (!registration) {
    LogBadDocument(aEntry, registration.error());
    return StateChange::None;
  }
  if (IsLateReport(aState.mRunners, *registration, aNowMs)) {
    LogBadDocument(aEntry, "reported before what is known of the process");
    return StateChange::None;
  }
  auto known = aState.mRunners.mRunners.find(aId);
  std::optional<ServerProcess> leaving;
  if (known != aState.mRunners.mRunners.end() && known->second.mLeaving) {
    leaving = ToProcess(known->second.mRegistration);
  }
  if (!ApplyRegistration(
        aState.mRunners, *registration, RevisionOf(aEntry), aNowMs)) {
    return StateChange::None;
  }
  if (leaving && *leaving != ToProcess(*registration)) {
    LogDrainEnded(*leaving, "new process");
  }
  LogEvent(Event::RunnerChanged,
           { { "runner", aId },
             { "service", registration->mService },
             { "address", registration->mAddress },
             { "zone", registration->mZone },
             { "version", registration->mVersion },
             { "state", registration->mDraining ? "draining" : "ready" },
             { "cold_ms", std::to_string(registration->mColdRemainingMs) },
             { "revision", std::to_string(aEntry.mModRevision) } });
  return StateChange::Runners;
}

StateChange
ApplyRolloutOrder(GatewayState& aState, const StoreEntry& aEntry, TimeMs aNowMs)
{
  auto order = ParseShiftOrder(aEntry.mValue, RevisionOf(aEntry));
  if (!order) {
    LogBadDocument(aEntry, order.error());
    return StateChange::None;
  }
  ApplyOrder(aState.mShifts, *order, aNowMs);
  // Progress that was stored before this host saw the order means that the
  // host has just started; the order's age comes from the progress.
  VersionShift& shift = aState.mShifts.mShifts.at(order->mService);
  if (shift.mProgress && shift.mOrderSeenMs == aNowMs &&
      shift.mProgress->mOrderedWallMs > 0) {
    ApplyOrderAge(
      shift, WallClockMs() - shift.mProgress->mOrderedWallMs, aNowMs);
  }
  LogEvent(Event::RolloutChanged,
           { { "service", order->mService },
             { "target", order->mTarget },
             { "state", "ordered" },
             { "duration_ms", std::to_string(order->mDurationMs) },
             { "revision", std::to_string(aEntry.mModRevision) } });
  return StateChange::Shift;
}

StateChange
ApplyRolloutProgress(GatewayState& aState,
                     const std::string& aService,
                     const StoreEntry& aEntry,
                     TimeMs aNowMs)
{
  auto progress = ParseShiftProgress(aEntry.mValue);
  if (!progress) {
    LogBadDocument(aEntry, progress.error());
    return StateChange::None;
  }
  ApplyProgress(
    aState.mShifts, aService, *progress, RevisionOf(aEntry), aNowMs);
  LogEvent(
    Event::RolloutChanged,
    { { "service", aService },
      { "target", progress->mTarget },
      { "state", std::string(ToName(kShiftStateNames, progress->mState)) },
      { "share", std::to_string(progress->mShare) },
      { "revision", std::to_string(aEntry.mModRevision) } });
  return StateChange::Shift;
}

} // namespace

StateChange
ApplyStoreEntry(GatewayState& aState, const StoreEntry& aEntry, TimeMs aNowMs)
{
  FleetKey key = ParseFleetKey(aEntry.mKey);
  switch (key.mKind) {
    case FleetKeyKind::Configuration:
      return ApplyTable(aState, aEntry);
    case FleetKeyKind::Registration:
      return ApplyRunner(aState, key.mName, aEntry, aNowMs);
    case FleetKeyKind::RolloutOrder:
      return ApplyRolloutOrder(aState, aEntry, aNowMs);
    case FleetKeyKind::RolloutProgress:
      return ApplyRolloutProgress(aState, key.mName, aEntry, aNowMs);
    case FleetKeyKind::Evacuation:
      LogEvent(Event::ZoneEvacuated,
               { { "zone", key.mName },
                 { "revision", std::to_string(aEntry.mModRevision) } });
      aState.mRunners.mEvacuatedZones.insert(key.mName);
      return StateChange::Runners;
    case FleetKeyKind::RolloutStatus:
    case FleetKeyKind::Other:
      return StateChange::None;
  }
  return StateChange::None;
}

StateChange
ApplyDeletion(GatewayState& aState,
              const std::string& aKey,
              std::optional<TimeMs> aGraceUntilMs)
{
  FleetKey key = ParseFleetKey(aKey);
  if (key.mKind == FleetKeyKind::Evacuation) {
    LogEvent(Event::ZoneReturned, { { "zone", key.mName } });
    aState.mRunners.mEvacuatedZones.erase(key.mName);
    return StateChange::Runners;
  }
  if (key.mKind == FleetKeyKind::Registration &&
      RemoveRegistration(aState.mRunners, key.mName, aGraceUntilMs)) {
    LogEvent(Event::RunnerGone,
             { { "runner", key.mName },
               { "lapsed", aGraceUntilMs ? "true" : "false" } });
    const RunnerState& runner = aState.mRunners.mRunners.at(key.mName);
    if (runner.mLeaving && runner.mRemoved) {
      LogDrainEnded(ToProcess(runner.mRegistration), "gone");
    }
    return StateChange::Runners;
  }
  return StateChange::None;
}

void
OnStoreRestored(GatewayState& aState, const StoreCopy& aCopy)
{
  for (auto& [service, shift] : aState.mShifts.mShifts) {
    std::optional<ShiftProgress> stored;
    StoreRevision revision{ aCopy.mEpoch, 0 };
    auto found = aCopy.mEntries.find(RolloutProgressKey(service));
    if (found != aCopy.mEntries.end()) {
      revision = RevisionOf(found->second);
      if (auto progress = ParseShiftProgress(found->second.mValue)) {
        stored = *progress;
      }
    }
    OnProgressRestored(shift, stored, revision);
  }
}

void
MarkStableVersions(GatewayState& aState)
{
  for (const auto& [id, runner] : aState.mRunners.mRunners) {
    const Registration& registration = runner.mRegistration;
    auto shift = aState.mShifts.mShifts.find(registration.mService);
    if (shift == aState.mShifts.mShifts.end() ||
        shift->second.mOrder.mTarget != registration.mVersion) {
      aState.mShifts.mStableVersions[registration.mService].insert(
        registration.mVersion);
    }
  }
}

std::string
DumpState(const GatewayState& aState, TimeMs aNowMs)
{
  using Json = nlohmann::json;
  Json runners = Json::object();
  for (const auto& [id, runner] : aState.mRunners.mRunners) {
    const Registration& registration = runner.mRegistration;
    runners[id] = {
      { "service", registration.mService },
      { "address", registration.mAddress },
      { "zone", registration.mZone },
      { "version", registration.mVersion },
      { "draining", registration.mDraining },
      { "gone", runner.mRemoved },
      { "leaving", runner.mLeaving },
      { "backed_off_ms",
        std::max<TimeMs>(0, runner.mBackpressure.mReturnMs - aNowMs) },
      { "in_flight", runner.mInFlight },
      { "backlog_ms", EstimateQueueMs(runner.mPrefillQueue, aNowMs) },
      { "error_share", ErrorRate(runner, aNowMs) },
      { "slowness", runner.mLatencyRatio },
      { "speed_factor", SpeedFactor(runner.mSpeed, aNowMs) },
      { "blocked_ms", std::max<TimeMs>(0, runner.mBlockedUntilMs - aNowMs) },
      { "cold_ms", std::max<TimeMs>(0, runner.mColdUntilMs - aNowMs) }
    };
  }
  Json shifts = Json::object();
  for (const auto& [service, shift] : aState.mShifts.mShifts) {
    shifts[service] = { { "target", shift.mOrder.mTarget },
                        { "share",
                          shift.mProgress ? shift.mProgress->mShare : 0 },
                        { "failed_evidence", shift.mFailedEvidence },
                        { "slow_evidence", shift.mSlowEvidence },
                        { "delayed_evidence", shift.mDelayedEvidence },
                        { "condemned", shift.mTargetRejected } };
  }
  Json suspects = Json::array();
  for (const auto& [key, suspect] : aState.mCrashSuspects.mSuspects) {
    suspects.push_back({ { "service", key.mService },
                         { "kind", ToName(kSuspectKindNames, key.mKind) },
                         { "id", FormatHex(key.mId) },
                         { "crashes", suspect.mEvidence.size() },
                         { "blocked", suspect.mBlocked },
                         { "trials", suspect.mTrials } });
  }
  Json speeds = Json::array();
  for (const auto& [key, speed] : aState.mPrefillSpeeds) {
    speeds.push_back({ { "service", key.first },
                       { "model", key.second },
                       { "ms_per_token", speed.mMsPerToken },
                       { "fixed_ms", speed.mFixedMs } });
  }
  return Json{
    { "config_version", aState.mTable ? aState.mTable->mVersion : 0 },
    { "entry_hosts", aState.mRunners.mEntryHosts },
    { "evacuated_zones", aState.mRunners.mEvacuatedZones },
    { "runners", runners },
    { "shifts", shifts },
    { "suspects", suspects },
    { "speeds", speeds }
  }.dump(1, ' ', false, Json::error_handler_t::replace);
}

} // namespace savory

#pragma once

#include "savory/core/backpressure.h"
#include "savory/core/drain_notices.h"
#include "savory/core/prefill_queue.h"
#include "savory/core/prefix_cache.h"
#include "savory/core/routes.h"
#include "savory/core/runner_speed.h"
#include "savory/core/store_revision.h"
#include "savory/core/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace savory {

// A backend server's registration in the store.
struct Registration
{
  std::string mId;
  std::string mService;
  std::string mAddress;
  std::string mZone;
  std::string mVersion;
  int mSlots = 1;
  bool mDraining = false;
  TimeMs mColdRemainingMs = 0;
  // Start time of the process by the platform's wall clock, in milliseconds. It
  // distinguishes two processes that registered under the same id. 0 when not
  // stated.
  std::int64_t mStartedWallMs = 0;
  // Grows with each report of the process.
  std::int64_t mSequence = 0;
};

// A part of a prompt that several requests may have in common.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;
};

// The state of a backend server as one entry host knows it.
struct RunnerState
{
  Registration mRegistration;
  // Revision of the registration in the store, and when it was heard.
  StoreRevision mRevision;
  TimeMs mRegisteredMs = 0;
  // The registration was removed: requests in flight may finish, and no new
  // ones are sent.
  bool mRemoved = false;
  // The runner said in an answer that it leaves; no new requests are sent.
  bool mLeaving = false;
  // How long it wants no requests of this host.
  Backpressure mBackpressure;
  // A header of its answers could not be read, and this was logged.
  bool mBadHeaderReported = false;
  // End of the grace period after the registration disappeared around a store
  // outage. A runner that has not registered again by then counts as removed.
  std::optional<TimeMs> mGraceUntilMs;
  TimeMs mFirstSeenMs = 0;

  int mInFlight = 0;
  // Prompts that wait for prefill at this runner.
  PrefillQueue mPrefillQueue;
  // Milliseconds of prefill that this host has sent to the runner and not
  // reported to its peers yet.
  double mUnreportedPrefillMs = 0;
  // The runner's last load report and the time it arrived.
  int mReportedRunning = 0;
  int mReportedWaiting = 0;
  TimeMs mReportedMs = 0;
  // The runner's last statement of how long work takes at that moment over how
  // long it usually takes, and the time it arrived.
  double mSlowdown = 1;
  TimeMs mSlowdownMs = 0;
  // Mean statement of the service's runners at that time.
  double mMeanSlowdown = 1;
  // The learned speed of the process; used where the service is paced.
  RunnerSpeed mSpeed;

  TimeMs mColdUntilMs = 0;
  TimeMs mColdSinceMs = 0;
  TimeMs mLastColdSendMs = -1'000'000;

  // No new requests before this time, because connections failed. The count of
  // those failures sets the backoff.
  TimeMs mBlockedUntilMs = 0;
  int mConnectFailures = 0;
  // Decayed share of failed requests at the time of its last update.
  double mErrorRate = 0;
  TimeMs mErrorUpdatedMs = 0;
  // Observed over expected time to the first event; 1 is normal, more is
  // slower.
  double mLatencyRatio = 1;
  // The prompt parts that were sent here by this host or a peer.
  PrefixCache mCache;
  // Prompt tokens that this host sent here for prefill, and the milliseconds
  // that it expected.
  double mReadTokens = 0;
  double mReadMs = 0;
  // Keys of the parts that this host sent here since the last gossip message to
  // peers.
  std::vector<std::uint64_t> mUnreportedParts;
};

// A process whose registration was removed: its last report.
struct Departure
{
  std::int64_t mSequence = 0;
  TimeMs mRemovedMs = 0;
};

// All backend servers that this host knows, by id, and the operators' orders
// that affect placement.
struct RunnerSet
{
  std::map<std::string, RunnerState> mRunners;
  std::set<std::string> mEvacuatedZones;
  DrainNotices mDrainNotices;
  // The processes that were removed so recently that a late report of theirs
  // may still be stored.
  std::map<ServerProcess, Departure> mDepartures;
  // Until when each service counts as paced: its runners state how fast they
  // work at the moment.
  std::map<std::string, TimeMs> mPacedUntilMs;
  // Services that are paced whatever their runners state, since their streams
  // have unequal latency goals.
  std::set<std::string> mUnequalGoals;
  // Moving average of the slowdowns stated, by service.
  std::map<std::string, double> mMeanSlowdowns;
  // Learned duration of decode steps by service and model.
  std::map<std::pair<std::string, std::string>, StepSpeed> mStepSpeeds;
  // Number of entry hosts that share the allowance of a cold runner, and the
  // name of this host, whose hash staggers their first requests.
  int mEntryHosts = 1;
  std::string mHost;
};

// Whether a registration was reported before what was heard of its process
// within the last seconds: a write whose answer was lost may take effect that
// much later. A drain is never late. An entry of another writer cannot shut a
// runner out for longer.
bool
IsLateReport(const RunnerSet& aSet,
             const Registration& aRegistration,
             TimeMs aNowMs);

// Applies a registration. A new process under a known id starts with fresh
// state, apart from the count of requests in flight. A late report and a
// revision older than the known one are ignored. Returns whether anything but
// the age of the registration changed.
bool
ApplyRegistration(RunnerSet& aSet,
                  const Registration& aRegistration,
                  const StoreRevision& aRevision,
                  TimeMs aNowMs);

// Removes a registration. Around a store outage, aGraceUntilMs gives the runner
// time to register again. Returns false when the id is unknown or was removed
// before.
bool
RemoveRegistration(RunnerSet& aSet,
                   const std::string& aId,
                   std::optional<TimeMs> aGraceUntilMs);

// A process of a runner said that it leaves. Returns whether this is new.
bool
OnDrainNotice(RunnerSet& aSet, const ServerProcess& aProcess, TimeMs aNowMs);

// The process that a registration describes.
ServerProcess
ToProcess(const Registration& aRegistration);

// Runners that said that they leave, and that want no requests of this host.
struct RunnerHintCounts
{
  int mLeaving = 0;
  int mBackedOff = 0;
};

RunnerHintCounts
CountRunnerHints(const RunnerSet& aSet, TimeMs aNowMs);

// Erases removed runners that have no request of this host in flight, and
// removes those whose grace period is over. Returns the ids of the latter.
std::vector<std::string>
PruneRunners(RunnerSet& aSet, TimeMs aNowMs);

// How a request to a runner ended, for the runner's health.
enum class RunnerOutcome
{
  Success,
  // The runner answered with an error of its own.
  Failure,
  // The runner refused the request before it ran.
  Refused,
  // The connection could not be established.
  Unreachable,
  // The connection was lost, or the answer was not valid HTTP.
  Broken,
  // No answer before the timeout.
  Timeout,
};

// Updates the error rate. A failed connection starts a backoff, and an answer
// other than a refusal ends it.
void
OnRequestOutcome(RunnerState& aRunner, RunnerOutcome aOutcome, TimeMs aNowMs);

// The share of failed requests, decayed to aNowMs.
double
ErrorRate(const RunnerState& aRunner, TimeMs aNowMs);

void
OnLoadReport(RunnerState& aRunner, int aRunning, int aWaiting, TimeMs aNowMs);

// A runner stated how long work takes at this moment over how long it usually
// takes; its service counts as paced for some time.
void
OnSlowdownReport(RunnerSet& aSet,
                 RunnerState& aRunner,
                 double aSlowdown,
                 TimeMs aNowMs);

// Whether the runners of a service state how fast they work at the moment, or
// its streams have unequal latency goals. Only then do placement and admission
// predict whole answers.
bool
IsPaced(const RunnerSet& aSet, const std::string& aService, TimeMs aNowMs);

// The speed factor and the slowdown of a runner for work that begins now: how
// long it takes over how long it takes at a usual runner.
double
WorkFactor(const RunnerState& aRunner, TimeMs aNowMs);

// A stream of a paced service ended at a runner: its mean milliseconds per
// output token show the runner's speed and the model's step. aBatch is the
// number of requests that ran there with it. A cold runner shows neither.
void
OnStreamPaced(RunnerSet& aSet,
              RunnerState& aRunner,
              const std::string& aModel,
              double aMsPerToken,
              double aBatch,
              TimeMs aNowMs);

// The runner may have restarted: clears what is known of its prefix cache and
// treats it as cold for aColdStartMs.
void
OnRestart(RunnerState& aRunner, TimeMs aColdStartMs, TimeMs aNowMs);

// The properties of a request that placement depends on.
struct PlacementRequest
{
  std::string mService;
  // Empty for plain services.
  std::string mModel;
  // Shared parts of the prompt in order, without the last part, which belongs
  // to this request alone.
  std::vector<PromptPart> mSharedParts;
  // Tokens that no other request shares.
  std::int64_t mUnsharedTokens = 0;
  std::size_t mBodyBytes = 0;
  // Output tokens that the answer is expected to have; 0 if unknown. Only
  // paced services use it.
  double mOutputTokens = 0;
  // Expected prefill milliseconds per token with this model, and the fixed part
  // of the time to the first event.
  double mMsPerToken = 0;
  double mFixedMs = 0;
  std::string mZone;
  std::set<std::string> mTriedRunners;
  // Whether a runner's version of the service may serve the request. An empty
  // function allows every version.
  std::function<bool(const RunnerState&)> mAllowsRunner;
};

struct Placement
{
  std::string mRunner;
  // Estimated milliseconds until the first event.
  double mExpectedMs = 0;
  // Estimated milliseconds of prefill.
  double mPrefillMs = 0;
  // Estimated milliseconds before the prefill on a runner of usual speed.
  double mQueueMs = 0;
  std::int64_t mUncachedTokens = 0;
  // The following are set for paced services only. Estimated milliseconds for
  // each output token after the first event, with the runner's batch as it
  // stands and this request in it.
  double mTokenMs = 0;
  // Estimated requests that run and that wait at the runner.
  int mRunning = 0;
  int mWaiting = 0;
  // What was decided about the prompt's shared parts.
  PrefixOption mPrefixOption = PrefixOption::NoPrefix;
  PrefixReason mPrefixReason = PrefixReason::NoPrefix;
  // Shared tokens that the runner is estimated to hold.
  std::int64_t mCachedTokens = 0;
  // The runner's work factor with which the times were estimated, and the
  // slowdown in it.
  double mWorkFactor = 1;
  double mSlowdown = 1;
};

// The option and the reason for the log, such as prefill/holder-queue.
std::string
DescribePrefix(const Placement& aPlacement);

// Why no runner was found, for logs and for the answer to the caller. The
// values are ordered by how many of the checks a runner passed.
enum class PlacementFailure
{
  NoRunner,
  AllTried,
  AllBlocked,
  // All runners that are left turned this host away for some time.
  AllBackedOff,
  AllCold,
  AllFull,
};

inline constexpr std::array<EnumName<PlacementFailure>, 6>
  kPlacementFailureNames{ {
    { PlacementFailure::NoRunner, "no-runner" },
    { PlacementFailure::AllTried, "all-tried" },
    { PlacementFailure::AllBlocked, "all-blocked" },
    { PlacementFailure::AllBackedOff, "all-backed-off" },
    { PlacementFailure::AllCold, "all-cold" },
    { PlacementFailure::AllFull, "all-full" },
  } };

// Chooses the runner with the shortest expected time to the first event. It is
// designed for few long prompts that share most of their tokens, on engines
// that spend their time on prefill rather than on decoding. Rendezvous hashing
// sends requests with the same shared parts to the same runner; all hosts
// compute it alike without exchanging messages. Requests go to the second
// runner in that order when the first has much work of this host pending.
tl::expected<Placement, PlacementFailure>
PlaceRequest(const RunnerSet& aSet,
             const RouteTable& aTable,
             const PlacementRequest& aRequest,
             TimeMs aNowMs);

// When the first of the runners that could serve a request takes one again, for
// requests that none takes now; nothing if there is no such runner. Only times
// that runners stated or that follow from failed connections are known.
std::optional<TimeMs>
EarliestReturnMs(const RunnerSet& aSet,
                 const PlacementRequest& aRequest,
                 TimeMs aNowMs);

// Records that a placed request is sent now. aLocalId identifies its prefill in
// the runner's queue. Its shared parts count as cached from now on, because
// the engine prefills requests sent later only after these parts.
void
OnRequestSent(RunnerState& aRunner,
              const PlacementRequest& aRequest,
              double aPrefillMs,
              std::uint64_t aLocalId,
              TimeMs aNowMs);

// Learns from the time to the first event of a request of a paced service: the
// speed of the runner, and that it does not hold the shared parts if the time
// fits a prefill of the whole prompt. Returns whether the answer tells the
// speed of the model's prefill too: a wait of uncertain length made up little
// of it, and nothing was read in vain.
bool
OnFirstEvent(RunnerState& aRunner,
             const PlacementRequest& aRequest,
             const Placement& aPlacement,
             double aObservedMs,
             TimeMs aNowMs);

// Merges a peer's report about a runner: the milliseconds of prefill that the
// peer has sent there since its last report, and the keys of the parts.
void
MergePeerPrefill(RunnerState& aRunner,
                 double aPrefillMs,
                 const std::vector<std::uint64_t>& aParts,
                 TimeMs aNowMs);

// The priority with which an engine should admit a prompt; 0 comes first. Short
// prompts come first, as a long one delays them more than they delay it. This
// matters where prefill times differ by a factor of a hundred and engines
// process prompts one after another.
int
PrefillPriority(double aPrefillMs);

// The key of a prompt part in the prefix cache of a model.
std::uint64_t
PrefixCacheKey(std::string_view aModel, std::uint64_t aPart);

// The rendezvous hash of a key and a runner; the runner with the highest value
// is the first choice for the key.
std::uint64_t
RendezvousRank(std::uint64_t aKey, std::string_view aRunner);

} // namespace savory

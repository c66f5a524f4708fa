#pragma once

#include "savory/core/prefill_queue.h"
#include "savory/core/routes.h"
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

// What a backend server registers about itself in the store.
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
  // Start of the process on the platform's clock; tells apart two lives that
  // share an id. 0 when not stated.
  std::int64_t mStartedWallMs = 0;
};

// A part of a prompt that several requests may share.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;
};

// A backend server as one entry host sees it.
struct RunnerState
{
  Registration mRegistration;
  // Revision of the registration in the store.
  std::int64_t mRevision = 0;
  // The registration is gone; work under way ends, no new work starts.
  bool mRemoved = false;
  // The registration went away around a store outage; the runner is gone when
  // it has not come back by then.
  std::optional<TimeMs> mGraceUntilMs;
  TimeMs mFirstSeenMs = 0;

  int mInFlight = 0;
  // Prompts that wait to be read here.
  PrefillQueue mPrefillQueue;
  // Milliseconds of reading that this host has sent here in all; peers are
  // told of it and take the growth for new work.
  double mSentPrefillMs = 0;
  // The same of each peer, as last heard.
  std::map<std::string, double> mPeerPrefillMs;
  // What the runner last reported, and when.
  int mReportedRunning = 0;
  int mReportedWaiting = 0;
  TimeMs mReportedMs = 0;

  TimeMs mColdUntilMs = 0;
  TimeMs mColdSinceMs = 0;
  TimeMs mLastColdSendMs = -1'000'000;

  // No new work until then, after connections failed.
  TimeMs mBlockedUntilMs = 0;
  int mConnectFailures = 0;
  // Decayed share of failures, and the time of the last update.
  double mErrorRate = 0;
  TimeMs mErrorUpdatedMs = 0;
  // Observed against expected time to the first event; 1 is ordinary.
  double mLatencyRatio = 1;
  // When each (model, part) was last sent here, by this host or a peer.
  std::unordered_map<std::uint64_t, TimeMs> mCachedParts;
  // Parts that this host sent here since peers were last told.
  std::vector<std::uint64_t> mUnpublishedParts;
};

// All backend servers that this host knows, by id, with the operators' orders
// that bear on the choice.
struct RunnerSet
{
  std::map<std::string, RunnerState> mRunners;
  std::set<std::string> mEvacuatedZones;
  // Entry hosts that share the allowance of cold runners, and the name of this
  // one, which spreads their first requests.
  int mEntryHosts = 1;
  std::string mHost;
};

// Takes a registration. A new life of the same id starts with fresh beliefs.
// Returns whether anything but the age of the registration changed.
bool
ApplyRegistration(RunnerSet& aSet,
                  const Registration& aRegistration,
                  std::int64_t aRevision,
                  TimeMs aNowMs);

// Takes note that a registration is gone. Around a store outage a grace period
// is given, in which the runner may register again.
bool
RemoveRegistration(RunnerSet& aSet,
                   const std::string& aId,
                   std::optional<TimeMs> aLapsedUntilMs);

// Drops runners that are gone and have no work of this host left, and turns
// lapsed ones into gone ones. Returns the ids that became gone.
std::vector<std::string>
PruneRunners(RunnerSet& aSet, TimeMs aNowMs);

// The ways a request to a runner can end, for its health.
enum class RunnerOutcome
{
  Success,
  // The runner answered with a failure of its own.
  Failure,
  // The runner refused the request before it ran.
  Refused,
  // The connection was never made.
  Unreachable,
  // The connection broke or the answer was no HTTP.
  Broken,
  // No answer within the time that was given.
  Timeout,
};

void
OnRequestOutcome(RunnerState& aRunner, RunnerOutcome aOutcome, TimeMs aNowMs);

// The share of failures, decayed to now.
double
ErrorRate(const RunnerState& aRunner, TimeMs aNowMs);

void
OnLoadReport(RunnerState& aRunner, int aRunning, int aWaiting, TimeMs aNowMs);

// The runner may have restarted: its caches are gone, and it may be cold.
void
OnRestart(RunnerState& aRunner, TimeMs aColdStartMs, TimeMs aNowMs);

// What the choice needs to know of a request.
struct PlacementRequest
{
  std::string mService;
  // Empty for plain services.
  std::string mModel;
  // Shared parts of the prompt in order, without the request's own last part.
  std::vector<PromptPart> mSharedParts;
  // Tokens that no other request shares.
  std::int64_t mUnsharedTokens = 0;
  std::size_t mBodyBytes = 0;
  // Expected milliseconds to read one token with this model, and for the rest.
  double mMsPerToken = 0;
  double mFixedMs = 0;
  std::string mZone;
  std::set<std::string> mTriedRunners;
  // Which versions of the service may be used.
  std::function<bool(const RunnerState&)> mAllowsRunner;
};

struct Placement
{
  std::string mRunner;
  // Estimated milliseconds until the first event.
  double mExpectedMs = 0;
  // Estimated milliseconds of reading the prompt.
  double mPrefillMs = 0;
  std::int64_t mUncachedTokens = 0;
};

// Why there is no placement, for logs and for the answer to the caller.
enum class PlacementFailure
{
  NoRunner,
  AllTried,
  AllBlocked,
  AllCold,
  AllFull,
};

inline constexpr std::array<EnumName<PlacementFailure>, 5>
  kPlacementFailureNames{ {
    { PlacementFailure::NoRunner, "no-runner" },
    { PlacementFailure::AllTried, "all-tried" },
    { PlacementFailure::AllBlocked, "all-blocked" },
    { PlacementFailure::AllCold, "all-cold" },
    { PlacementFailure::AllFull, "all-full" },
  } };

// Chooses the runner with the shortest expected time to the first event. The
// load it answers: few long prompts that share most of their tokens, on
// engines whose time goes into reading prompts rather than into writing.
// Requests with the same shared parts meet at the same runner by rendezvous
// hashing, which all hosts compute alike without telling each other, and go to
// the second in that order when the first has much work of this host pending.
tl::expected<Placement, PlacementFailure>
PlaceRequest(const RunnerSet& aSet,
             const RouteTable& aTable,
             const PlacementRequest& aRequest,
             TimeMs aNowMs);

// Books a placement: the request is sent now. Its shared parts count as cached
// from here on, as what is sent next waits until they have been read.
void
OnRequestSent(RunnerState& aRunner,
              const PlacementRequest& aRequest,
              double aPrefillMs,
              std::uint64_t aLocalId,
              TimeMs aNowMs);

// A peer has sent a runner this much reading in all, and these parts lately.
void
MergePeerPrefill(RunnerState& aRunner,
                 const std::string& aPeer,
                 double aTotalMs,
                 const std::vector<std::uint64_t>& aParts,
                 TimeMs aNowMs);

// The order in which an engine should admit a prompt, 0 first: short ones
// first, as a long one delays them more than they delay it. The load it
// answers: prompts whose reading times differ by a hundred times, at engines
// that read one after another.
int
PrefillPriority(double aPrefillMs);

// The key under which a part of a prompt counts as cached for a model.
std::uint64_t
PrefixCacheKey(std::string_view aModel, std::uint64_t aPart);

// The rank of a runner for a key; the highest is the key's home.
std::uint64_t
RendezvousRank(std::uint64_t aKey, std::string_view aRunner);

} // namespace savory

#include "answer_rater.h"

#include "savory/core/rollout.h"
#include "savory/net/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kPollIntervalMs = 250;
constexpr TimeMs kRequestTimeoutMs = 5000;
constexpr std::size_t kMaxPendingRatings = 10000;
constexpr std::size_t kMaxPollsPerInterval = 16;

// Lowest score, in [0, 1], with which an answer passes.
constexpr double kPassScore = 0.5;

// Weight of a new sample in the moving average of the time until a rating.
constexpr double kRatingTimeWeight = 0.1;

} // namespace

AnswerRater::AnswerRater(Node& aNode)
  : mNode(aNode)
  , mWriter(aNode.mSettings.mHost, aNode.mIncarnation)
{
  mPollTimer =
    Timer::Every(mNode.mLoop, kPollIntervalMs, [this] { PollRatings(); });
}

bool
AnswerRater::IsAvailable() const
{
  return mNode.mSettings.mRating.mPort != 0 && !mLastRequestFailed;
}

int
AnswerRater::OutstandingCount(const std::string& aVersion) const
{
  auto found = mOutstanding.find(aVersion);
  return found == mOutstanding.end() ? 0 : found->second;
}

void
AnswerRater::Rate(const RatingKey& aKey,
                  const RatingRequest& aRequest,
                  TimeMs aWaitMs,
                  const sigc::slot<void(std::optional<bool>)>& aDone)
{
  if (mNode.mSettings.mRating.mPort == 0 ||
      mPendingRatings.size() >= kMaxPendingRatings) {
    aDone(std::nullopt);
    return;
  }
  static std::int64_t counter = 0;
  std::string id = std::to_string(++counter);
  auto pending = std::make_shared<PendingRating>();
  pending->mKey = aKey;
  pending->mRequestId = aRequest.mRequestId;
  pending->mRequestedMs = mNode.mLoop.NowMs();
  pending->mOnDone = aDone;
  pending->mTimeoutTimer = Timer::After(mNode.mLoop, aWaitMs, [pending] {
    auto done = std::exchange(pending->mOnDone, {});
    if (done) {
      done(std::nullopt);
    }
  });
  mPendingRatings[id] = pending;
  mOutstanding[aKey.mVersion] += 1;
  RequestRating(mNode.mHttp,
                mNode.mSettings.mRating,
                aRequest,
                kRequestTimeoutMs,
                [this, id](const tl::expected<Rating, RatingError>& aRating) {
                  OnRating(id, aRating);
                });
}

// Handles a response of the rating service: counts the rating, or queues the
// answer to be polled again until kRatingTimeoutMs have passed.
void
AnswerRater::OnRating(const std::string& aId,
                      const tl::expected<Rating, RatingError>& aRating)
{
  auto found = mPendingRatings.find(aId);
  if (found == mPendingRatings.end()) {
    return;
  }
  TimeMs now = mNode.mLoop.NowMs();
  auto pending = found->second;
  bool timedOut = now - pending->mRequestedMs > kRatingTimeoutMs;
  if (!aRating && !mLastRequestFailed) {
    LogEvent(Event::RatingFailed, { { "reason", aRating.error().mReason } });
  }
  mLastRequestFailed = !aRating;
  if ((!aRating || aRating->mPending) && !timedOut) {
    mPollOrder.push_back(aId);
    return;
  }
  mPendingRatings.erase(found);
  mOutstanding[pending->mKey.mVersion] -= 1;
  pending->mTimeoutTimer.Cancel();
  auto done = std::exchange(pending->mOnDone, {});
  if (!aRating || aRating->mPending) {
    if (done) {
      done(std::nullopt);
    }
    return;
  }
  double elapsedMs = static_cast<double>(now - pending->mRequestedMs);
  mMeanRatingMs += kRatingTimeWeight * (elapsedMs - mMeanRatingMs);
  bool passed = aRating->mScore >= kPassScore;
  AddRating(mTable, mWriter, pending->mKey, passed);
  if (done) {
    done(passed);
  }
}

// Polls ratings that were not ready.
void
AnswerRater::PollRatings()
{
  std::size_t count = std::min(mPollOrder.size(), kMaxPollsPerInterval);
  for (std::size_t i = 0; i < count; ++i) {
    std::string id = mPollOrder.front();
    mPollOrder.pop_front();
    auto found = mPendingRatings.find(id);
    if (found == mPendingRatings.end()) {
      continue;
    }
    FetchRating(mNode.mHttp,
                mNode.mSettings.mRating,
                found->second->mRequestId,
                [this, id](const tl::expected<Rating, RatingError>& aRating) {
                  OnRating(id, aRating);
                });
  }
}

nlohmann::json
AnswerRater::SerializeLocalRatings() const
{
  RatingTable localRatings;
  auto found = mTable.mRows.find(mWriter);
  if (found != mTable.mRows.end()) {
    localRatings.mRows.insert(*found);
  }
  return RatingsToJson(localRatings);
}

void
AnswerRater::MergePeerRatings(const nlohmann::json& aRow)
{
  auto table = RatingsFromJson(aRow);
  if (table) {
    MergeRatings(mTable, *table);
  }
}

} // namespace savory

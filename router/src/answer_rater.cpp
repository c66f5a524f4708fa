#include "answer_rater.h"

#include "savory/core/rollout.h"
#include "savory/net/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kPollMs = 250;
constexpr TimeMs kRequestTimeoutMs = 5000;
constexpr std::size_t kMaxWaiting = 10000;
constexpr std::size_t kPollsAtOnce = 16;

// The score in [0, 1] from which an answer passes.
constexpr double kPassScore = 0.5;

// Weight of the newest sample in the usual time until a rating.
constexpr double kSmoothing = 0.1;

} // namespace

AnswerRater::AnswerRater(Node& aNode)
  : mNode(aNode)
  , mWriter(aNode.mSettings.mHost, aNode.mIncarnation)
{
  mPoll = Timer::Every(mNode.mLoop, kPollMs, [this] { Poll(); });
}

bool
AnswerRater::IsUp() const
{
  return mNode.mSettings.mRating.mPort != 0 && !mFailed;
}

int
AnswerRater::Outstanding(const std::string& aVersion) const
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
  if (mNode.mSettings.mRating.mPort == 0 || mWaiting.size() >= kMaxWaiting) {
    aDone(std::nullopt);
    return;
  }
  static std::int64_t counter = 0;
  std::string id = std::to_string(++counter);
  auto waiting = std::make_shared<Waiting>();
  waiting->mKey = aKey;
  waiting->mRequestId = aRequest.mRequestId;
  waiting->mSinceMs = mNode.mLoop.NowMs();
  waiting->mDone = aDone;
  waiting->mLimit = Timer::After(mNode.mLoop, aWaitMs, [waiting] {
    auto done = std::exchange(waiting->mDone, {});
    if (done) {
      done(std::nullopt);
    }
  });
  mWaiting[id] = waiting;
  mOutstanding[aKey.mVersion] += 1;
  RequestRating(mNode.mHttp,
                mNode.mSettings.mRating,
                aRequest,
                kRequestTimeoutMs,
                [this, id](const tl::expected<Rating, RatingError>& aRating) {
                  Take(id, aRating);
                });
}

// Takes an answer of the rating service.
void
AnswerRater::Take(const std::string& aId,
                  const tl::expected<Rating, RatingError>& aRating)
{
  auto found = mWaiting.find(aId);
  if (found == mWaiting.end()) {
    return;
  }
  TimeMs now = mNode.mLoop.NowMs();
  auto waiting = found->second;
  bool late = now - waiting->mSinceMs > kRatingTimeoutMs;
  if (!aRating && !mFailed) {
    LogEvent(Event::RatingFailed, { { "reason", aRating.error().mReason } });
  }
  mFailed = !aRating;
  if ((!aRating || aRating->mPending) && !late) {
    mPollOrder.push_back(aId);
    return;
  }
  mWaiting.erase(found);
  mOutstanding[waiting->mKey.mVersion] -= 1;
  waiting->mLimit.Cancel();
  auto done = std::exchange(waiting->mDone, {});
  if (!aRating || aRating->mPending) {
    if (done) {
      done(std::nullopt);
    }
    return;
  }
  double elapsed = static_cast<double>(now - waiting->mSinceMs);
  mUsualMs += kSmoothing * (elapsed - mUsualMs);
  bool passed = aRating->mScore >= kPassScore;
  AddRating(mTable, mWriter, waiting->mKey, passed);
  if (done) {
    done(passed);
  }
}

// Asks again for ratings that were not ready.
void
AnswerRater::Poll()
{
  std::size_t count = std::min(mPollOrder.size(), kPollsAtOnce);
  for (std::size_t i = 0; i < count; ++i) {
    std::string id = mPollOrder.front();
    mPollOrder.pop_front();
    auto found = mWaiting.find(id);
    if (found == mWaiting.end()) {
      continue;
    }
    FetchRating(mNode.mHttp,
                mNode.mSettings.mRating,
                found->second->mRequestId,
                [this, id](const tl::expected<Rating, RatingError>& aRating) {
                  Take(id, aRating);
                });
  }
}

nlohmann::json
AnswerRater::OwnRow() const
{
  RatingTable own;
  auto found = mTable.mRows.find(mWriter);
  if (found != mTable.mRows.end()) {
    own.mRows.insert(*found);
  }
  return RatingsToJson(own);
}

void
AnswerRater::Merge(const nlohmann::json& aRow)
{
  auto table = RatingsFromJson(aRow);
  if (table) {
    MergeRatings(mTable, *table);
  }
}

} // namespace savory

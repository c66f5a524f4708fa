#pragma once

#include "node.h"
#include "savory/core/ratings.h"
#include "savory/platform/rating.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace savory {

// Sends answers to the rating service and counts the ratings. A rating that is
// not ready is polled until kRatingTimeoutMs have passed.
class AnswerRater
{
public:
  explicit AnswerRater(Node& aNode);

  // Requests the rating of an answer. aDone gets whether the answer passed, or
  // nothing when no rating arrived within aWaitMs; a later rating is still
  // counted.
  void Rate(const RatingKey& aKey,
            const RatingRequest& aRequest,
            TimeMs aWaitMs,
            const sigc::slot<void(std::optional<bool>)>& aDone);

  // Whether a rating service is configured and its last answer was no error.
  bool IsAvailable() const;
  // Moving average of the time until a rating.
  TimeMs MeanRatingMs() const { return static_cast<TimeMs>(mMeanRatingMs); }
  // The number of local answers of a "model@version" that await a rating.
  int OutstandingCount(const std::string& aVersion) const;

  // Serializes the local counts for gossip.
  nlohmann::json SerializeLocalRatings() const;
  // Merges the counts that another entry published.
  void MergePeerRatings(const nlohmann::json& aRow);

  const RatingTable& Table() const { return mTable; }

private:
  struct PendingRating
  {
    RatingKey mKey;
    std::string mRequestId;
    TimeMs mRequestedMs = 0;
    sigc::slot<void(std::optional<bool>)> mOnDone;
    Timer mTimeoutTimer;
  };

  void PollRatings();
  void OnRating(const std::string& aId,
                const tl::expected<Rating, RatingError>& aRating);

  Node& mNode;
  RatingTable mTable;
  RatingWriter mWriter;
  std::map<std::string, std::shared_ptr<PendingRating>> mPendingRatings;
  std::deque<std::string> mPollOrder;
  std::map<std::string, int> mOutstanding;
  bool mLastRequestFailed = false;
  double mMeanRatingMs = 200;
  Timer mPollTimer;
};

} // namespace savory

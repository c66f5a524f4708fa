#pragma once

#include "node.h"
#include "savory/core/ratings.h"
#include "savory/platform/rating.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace savory {

// Sends answers to the rating service and counts what comes back. Ratings may
// come late; an answer is asked for again until kRatingTimeoutMs have passed.
class AnswerRater
{
public:
  explicit AnswerRater(Node& aNode);

  // Asks for the rating of an answer. The slot gets whether it passed, or
  // nothing when no rating came within the time; the rating still counts when
  // it comes later.
  void Rate(const RatingKey& aKey,
            const RatingRequest& aRequest,
            TimeMs aWaitMs,
            const sigc::slot<void(std::optional<bool>)>& aDone);

  // Whether the rating service is set and answered lately.
  bool IsAvailable() const;
  // The usual time until a rating, in milliseconds.
  TimeMs MeanRatingMs() const { return static_cast<TimeMs>(mMeanRatingMs); }
  // Own answers of a "model@version" that await a rating.
  int OutstandingCount(const std::string& aVersion) const;

  // The own counts, for gossip, and those of another entry.
  nlohmann::json SerializeLocalRatings() const;
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

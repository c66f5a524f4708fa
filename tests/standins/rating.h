#pragma once

#include "server.h"

#include <map>
#include <random>

namespace savory {

struct RatingOptions
{
  // Pass rates by "model@version/class" or "model@version"; the class is the
  // word after "class:" in the prompt.
  std::map<std::string, double> mPassRates;
  double mDefaultPassRate = 0.9;
  TimeMs mLagMs = 0;
  double mSparsity = 0;
  double mNoise = 0;
  std::uint64_t mSeed = 1;
};

// The rating service: POST /ratings submits an answer, GET /ratings/ID returns
// its rating, or 202 while there is none. An answer passes (1) or fails (0) at
// random with the pass rate; the rate of one that starts with "BAD" is 0. An id
// is rated once. Faults: down, lag_ms, sparsity, noise (override the options).
class RatingStandin : public Standin
{
public:
  RatingStandin(EventLoop& aLoop, const RatingOptions& aOptions);

  nlohmann::json Observations() override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Rating
  {
    TimeMs mReadyMs = 0;
    bool mRated = false;
    double mScore = 0;
  };

  double FindPassRate(const nlohmann::json& aBody) const;
  bool Draw(double aProbability);
  void Rate(const nlohmann::json& aBody);
  void AnswerRating(const std::string& aId, const Reply& aReply);

  RatingOptions mOptions;
  std::mt19937_64 mRandom;
  std::map<std::string, Rating> mRatings;
  // Numbers of answers, ratings and passes by "model@version".
  std::map<std::string, std::map<std::string, int>> mCounts;
};

} // namespace savory

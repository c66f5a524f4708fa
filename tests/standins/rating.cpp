#include "rating.h"

#include <event2/http.h>

namespace savory {

using nlohmann::json;

RatingStandin::RatingStandin(EventLoop& aLoop, const RatingOptions& aOptions)
  : Standin(aLoop)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
}

json
RatingStandin::Observations()
{
  return { { "answers", mRatings.size() }, { "versions", mCounts } };
}

void
RatingStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  constexpr std::string_view kPrefix = "/ratings/";
  if (mFaults.value("down", false)) {
    aReply->Abort();
  } else if (aRequest.mMethod == "POST" && aRequest.mPath == "/ratings") {
    json body = json::parse(aRequest.mBody);
    Rate(body);
    AnswerRating(body.at("id").get<std::string>(), aReply);
  } else if (aRequest.mPath.starts_with(kPrefix)) {
    std::unique_ptr<char, decltype(&std::free)> id(
      evhttp_uridecode(aRequest.mPath.c_str() + kPrefix.size(), 0, nullptr),
      &std::free);
    AnswerRating(id.get(), aReply);
  } else {
    Answer(aReply, 404, { { "error", "no such path" } });
  }
}

double
RatingStandin::FindPassRate(const json& aBody) const
{
  if (aBody.at("answer").get<std::string>().starts_with("BAD")) {
    return 0;
  }
  std::string version = aBody.at("model").get<std::string>() + "@" +
                        aBody.at("version").get<std::string>();
  std::string prompt = aBody.value("prompt", std::string());
  constexpr std::string_view kClassPrefix = "class:";
  auto position = prompt.find(kClassPrefix);
  if (position != std::string::npos) {
    auto start = position + kClassPrefix.size();
    auto end = prompt.find_first_of(" \t\r\n", start);
    auto found = mOptions.mPassRates.find(version + "/" +
                                          prompt.substr(start, end - start));
    if (found != mOptions.mPassRates.end()) {
      return found->second;
    }
  }
  auto found = mOptions.mPassRates.find(version);
  return found == mOptions.mPassRates.end() ? mOptions.mDefaultPassRate
                                            : found->second;
}

bool
RatingStandin::Draw(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

void
RatingStandin::Rate(const json& aBody)
{
  double rate = FindPassRate(aBody);
  auto [rating, added] =
    mRatings.try_emplace(aBody.at("id").get<std::string>(), Rating{});
  if (!added) {
    return;
  }
  bool passes = Draw(rate);
  bool inverted = Draw(mFaults.value("noise", mOptions.mNoise));
  rating->second = {
    .mReadyMs = MonotonicMs() + mFaults.value("lag_ms", mOptions.mLagMs),
    .mRated = !Draw(mFaults.value("sparsity", mOptions.mSparsity)),
    .mScore = passes != inverted ? 1.0 : 0.0,
  };
  auto& counts = mCounts[aBody.at("model").get<std::string>() + "@" +
                         aBody.at("version").get<std::string>()];
  ++counts["answers"];
  counts["rated"] += rating->second.mRated ? 1 : 0;
  counts["passed"] +=
    rating->second.mRated && rating->second.mScore > 0.5 ? 1 : 0;
}

void
RatingStandin::AnswerRating(const std::string& aId, const Reply& aReply)
{
  auto rating = mRatings.find(aId);
  if (rating == mRatings.end()) {
    Answer(aReply, 404, { { "error", "no such answer" } });
  } else if (!rating->second.mRated ||
             MonotonicMs() < rating->second.mReadyMs) {
    Answer(aReply, 202, { { "id", aId } });
  } else {
    Answer(aReply, 200, { { "id", aId }, { "score", rating->second.mScore } });
  }
}

} // namespace savory

#include "savory/core/explain.h"

#include <nlohmann/json.hpp>

namespace savory {

using nlohmann::json;

void
AddDecision(ExplainLog& aLog,
            const std::string& aRequestId,
            const std::string& aCustomer,
            Decision aDecision)
{
  auto found = aLog.mById.find(aRequestId);
  if (found == aLog.mById.end()) {
    while (!aLog.mRequests.empty() && aLog.mRequests.size() >= aLog.mCapacity) {
      aLog.mById.erase(aLog.mRequests.front().mRequestId);
      aLog.mRequests.pop_front();
    }
    Explanation request;
    request.mRequestId = aRequestId;
    request.mCustomer = aCustomer;
    request.mStartedMs = aDecision.mTimeMs;
    auto at = aLog.mRequests.insert(aLog.mRequests.end(), std::move(request));
    found = aLog.mById.emplace(aRequestId, at).first;
  }
  Explanation& request = *found->second;
  if (aDecision.mCandidates.size() > kMaxCandidates) {
    request.mTruncated +=
      static_cast<int>(aDecision.mCandidates.size() - kMaxCandidates);
    aDecision.mCandidates.resize(kMaxCandidates);
  }
  // Drop a decision from the middle: the first and the last ones are the most
  // informative.
  if (request.mDecisions.size() >= kMaxDecisions) {
    request.mDecisions.erase(request.mDecisions.begin() + kMaxDecisions / 2);
    request.mTruncated += 1;
  }
  request.mDecisions.push_back(std::move(aDecision));
}

const Explanation*
FindExplanation(const ExplainLog& aLog, const std::string& aRequestId)
{
  auto found = aLog.mById.find(aRequestId);
  return found == aLog.mById.end() ? nullptr : &*found->second;
}

std::vector<std::string>
RecentRequests(const ExplainLog& aLog, std::size_t aLimit)
{
  std::vector<std::string> ids;
  for (auto at = aLog.mRequests.rbegin();
       at != aLog.mRequests.rend() && ids.size() < aLimit;
       ++at) {
    ids.push_back(at->mRequestId);
  }
  return ids;
}

json
ToJson(const Explanation& aExplanation)
{
  json decisions = json::array();
  for (const auto& decision : aExplanation.mDecisions) {
    json candidates = json::array();
    for (const auto& candidate : decision.mCandidates) {
      candidates.push_back(
        { { "name", candidate.mName },
          { "fate", ToName(kCandidateResultNames, candidate.mResult) },
          { "score", candidate.mScore },
          { "reason", candidate.mReason } });
    }
    decisions.push_back(
      { { "kind", decision.mKind },
        { "after_ms", decision.mTimeMs - aExplanation.mStartedMs },
        { "revision", decision.mRevision },
        { "outcome", decision.mOutcome },
        { "reason", decision.mReason },
        { "candidates", std::move(candidates) } });
  }
  return { { "request", aExplanation.mRequestId },
           { "customer", aExplanation.mCustomer },
           { "started_ms", aExplanation.mStartedMs },
           { "decisions", std::move(decisions) },
           { "truncated", aExplanation.mTruncated } };
}

} // namespace savory

#pragma once

#include "savory/core/types.h"

#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory {

// The result of a decision for one of its candidates.
enum class CandidateResult
{
  Considered,
  Refused,
  Chosen,
};

inline constexpr std::array<EnumName<CandidateResult>, 3> kCandidateResultNames{
  {
    { CandidateResult::Considered, "considered" },
    { CandidateResult::Refused, "refused" },
    { CandidateResult::Chosen, "chosen" },
  }
};

// A model, version or backend server that a decision considered, with its score
// (lower is better), the result and the reason for it.
struct DecisionCandidate
{
  std::string mName;
  CandidateResult mResult = CandidateResult::Considered;
  double mScore = 0;
  std::string mReason;
};

// One decision about a request: its kind ("plan", "backend" or "admission"),
// its time, the revision of the configuration that it used, its outcome with
// the reason, and the candidates.
struct Decision
{
  std::string mKind;
  TimeMs mTimeMs = 0;
  std::int64_t mRevision = 0;
  std::string mOutcome;
  std::string mReason;
  std::vector<DecisionCandidate> mCandidates;
};

// The decisions of one process about one request. `mTruncated` counts the
// decisions and candidates that were dropped because of the bounds.
struct Explanation
{
  std::string mRequestId;
  std::string mCustomer;
  TimeMs mStartedMs = 0;
  std::vector<Decision> mDecisions;
  int mTruncated = 0;
};

// Maximum number of decisions per request and of candidates per decision.
inline constexpr std::size_t kMaxDecisions = 32;
inline constexpr std::size_t kMaxCandidates = 16;

// The explanations of the most recent requests, by request id. The oldest one
// is removed when there are more than `mCapacity`.
struct ExplainLog
{
  std::size_t mCapacity = 10000;
  std::list<Explanation> mRequests;
  std::unordered_map<std::string, std::list<Explanation>::iterator> mById;
};

// Adds a decision to a request; the first one creates the explanation.
void
AddDecision(ExplainLog& aLog,
            const std::string& aRequestId,
            const std::string& aCustomer,
            Decision aDecision);

// The explanation of a request, or null if there is none or it was removed.
const Explanation*
FindExplanation(const ExplainLog& aLog, const std::string& aRequestId);

// The ids of the newest `aLimit` requests, newest first.
std::vector<std::string>
RecentRequests(const ExplainLog& aLog, std::size_t aLimit);

nlohmann::json
ToJson(const Explanation& aExplanation);

} // namespace savory

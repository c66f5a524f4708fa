#pragma once

#include "savory/core/types.h"

#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory {

// What became of a candidate of a decision.
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

// A model, version or backend server that a decision looked at, with its score
// and why it met its fate. Lower scores are better.
struct DecisionCandidate
{
  std::string mName;
  CandidateResult mResult = CandidateResult::Considered;
  double mScore = 0;
  std::string mReason;
};

// One decision about a request: which kind ("plan", "backend", "admission"),
// at what time, on which revision of the configuration, from what and why.
struct Decision
{
  std::string mKind;
  TimeMs mTimeMs = 0;
  std::int64_t mRevision = 0;
  std::string mOutcome;
  std::string mReason;
  std::vector<DecisionCandidate> mCandidates;
};

// What a process remembers of one request. `mTruncated` counts decisions and
// candidates beyond the bounds.
struct Explanation
{
  std::string mRequestId;
  std::string mCustomer;
  TimeMs mStartedMs = 0;
  std::vector<Decision> mDecisions;
  int mTruncated = 0;
};

// Bounds of what is kept of one request.
inline constexpr std::size_t kMaxDecisions = 32;
inline constexpr std::size_t kMaxCandidates = 16;

// The decisions of the last requests, by request id. The oldest request leaves
// when there are more than `mCapacity`.
struct ExplainLog
{
  std::size_t mCapacity = 10000;
  std::list<Explanation> mRequests;
  std::unordered_map<std::string, std::list<Explanation>::iterator> mById;
};

// Adds a decision to a request, which becomes known with its first.
void
AddDecision(ExplainLog& aLog,
            const std::string& aRequestId,
            const std::string& aCustomer,
            Decision aDecision);

// The explanation of a request, or null when it is not or no longer known.
const Explanation*
FindExplanation(const ExplainLog& aLog, const std::string& aRequestId);

// The newest request ids, newest first.
std::vector<std::string>
RecentRequests(const ExplainLog& aLog, std::size_t aLimit);

nlohmann::json
ToJson(const Explanation& aExplanation);

} // namespace savory

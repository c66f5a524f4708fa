#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <utility>

namespace savory {

enum class SizeClass
{
  Short,
  Middle,
  Long,
};

inline constexpr std::array<EnumName<SizeClass>, 3> kSizeClassNames{ {
  { SizeClass::Short, "short" },
  { SizeClass::Middle, "middle" },
  { SizeClass::Long, "long" },
} };

// Largest estimated number of input tokens of a short and a middle request.
inline constexpr std::int64_t kMaxShortTokens = 256;
inline constexpr std::int64_t kMaxMiddleTokens = 2048;

// The class of a request. Pass rates are learned for each class separately.
struct RequestClass
{
  SizeClass mSize = SizeClass::Short;
  bool mHasImages = false;
};

inline constexpr int kClassCount = 6;

RequestClass
ClassifyRequest(std::int64_t aInputTokens, bool aHasImages);

// The number of a class, in [0, kClassCount).
int
ClassIndex(const RequestClass& aClass);

// "short", or "short with photographs".
std::string
ClassName(const RequestClass& aClass);

// The key of a rating counter: the class of the request, the "model@version"
// that answered, and for a second step the "model@version" whose answer failed
// (else empty). Second steps are counted separately because a request that
// failed once is harder than the average of its class.
struct RatingKey
{
  int mClass = 0;
  std::string mVersion;
  std::string mFailedVersion;

  bool operator<(const RatingKey& aOther) const
  {
    return std::tie(mClass, mVersion, mFailedVersion) <
           std::tie(aOther.mClass, aOther.mVersion, aOther.mFailedVersion);
  }
};

struct RatingCounts
{
  std::int64_t mPassed = 0;
  std::int64_t mFailed = 0;

  bool operator==(const RatingCounts&) const = default;
};

std::int64_t
TotalRatings(const RatingCounts& aCounts);

using RatingCells = std::map<RatingKey, RatingCounts>;

// The process that counts: an entry's host name and incarnation.
using RatingWriter = std::pair<std::string, std::int64_t>;

// Ratings of all entries, as grow-only counters. Only the writer of a row adds
// to it, and its counts never decrease, so that merging by the maximum is exact
// for any order and repetition of messages. `mTotals` is the sum of all rows.
struct RatingTable
{
  std::map<RatingWriter, RatingCells> mRows;
  RatingCells mTotals;
};

// Adds one rating to the row of its writer.
void
AddRating(RatingTable& aTable,
          const RatingWriter& aWriter,
          const RatingKey& aKey,
          bool aPassed);

// Merges the rows of another table by the maximum of each counter.
void
MergeRatings(RatingTable& aTable, const RatingTable& aOther);

// Keeps the rows with the most ratings, at most `aMaxRows`, and the row of
// `aLocalWriter`. This bounds the memory for rows of replaced entries.
void
TrimRatings(RatingTable& aTable,
            std::size_t aMaxRows,
            const RatingWriter& aLocalWriter);

// Counts for a key, summed over all entries.
RatingCounts
FindCounts(const RatingTable& aTable, const RatingKey& aKey);

// Counts of a "model@version" as first step, summed over all classes.
RatingCounts
FirstStepCounts(const RatingTable& aTable, std::string_view aVersion);

// A list of rows {host, incarnation, cells: [[class, version, after, passed,
// failed]]}, where `after` is RatingKey::mFailedVersion.
nlohmann::json
RatingsToJson(const RatingTable& aTable);

// Parses the output of RatingsToJson; the error says what is wrong.
tl::expected<RatingTable, std::string>
RatingsFromJson(const nlohmann::json& aDocument);

// "model@version".
std::string
QualifiedVersion(std::string_view aModel, std::string_view aVersion);

} // namespace savory

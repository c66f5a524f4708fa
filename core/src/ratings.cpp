#include "savory/core/ratings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::size_t kCellFields = 5;

// Raises the counts of a row to at least the given values, and the totals by
// the difference.
void
RaiseCounters(RatingTable& aTable,
              RatingCells& aRow,
              const RatingKey& aKey,
              const RatingCounts& aCounts)
{
  RatingCounts& cell = aRow[aKey];
  RatingCounts& total = aTable.mTotals[aKey];
  std::int64_t passed = std::max(cell.mPassed, aCounts.mPassed);
  std::int64_t failed = std::max(cell.mFailed, aCounts.mFailed);
  total.mPassed += passed - cell.mPassed;
  total.mFailed += failed - cell.mFailed;
  cell = { passed, failed };
}

std::int64_t
RowTotal(const RatingCells& aRow)
{
  std::int64_t total = 0;
  for (const auto& [key, counts] : aRow) {
    total += TotalRatings(counts);
  }
  return total;
}

bool
IsCell(const json& aCell)
{
  return aCell.is_array() && aCell.size() == kCellFields &&
         aCell[0].is_number_integer() && aCell[0] >= 0 &&
         aCell[0] < kClassCount && aCell[1].is_string() &&
         aCell[2].is_string() && aCell[3].is_number_integer() &&
         aCell[4].is_number_integer() && aCell[3] >= 0 && aCell[4] >= 0;
}

bool
IsRow(const json& aRow)
{
  return aRow.is_object() && aRow.contains("host") &&
         aRow["host"].is_string() && aRow.contains("incarnation") &&
         aRow["incarnation"].is_number_integer() && aRow.contains("cells") &&
         aRow["cells"].is_array();
}

} // namespace

RequestClass
ClassifyRequest(std::int64_t aInputTokens, bool aHasImages)
{
  SizeClass size = aInputTokens <= kMaxShortTokens    ? SizeClass::Short
                   : aInputTokens <= kMaxMiddleTokens ? SizeClass::Middle
                                                      : SizeClass::Long;
  return { size, aHasImages };
}

int
ClassIndex(const RequestClass& aClass)
{
  return static_cast<int>(aClass.mSize) * 2 + (aClass.mHasImages ? 1 : 0);
}

std::string
ClassName(const RequestClass& aClass)
{
  std::string text(ToName(kSizeClassNames, aClass.mSize));
  return aClass.mHasImages ? text + " with photographs" : text;
}

std::int64_t
TotalRatings(const RatingCounts& aCounts)
{
  return aCounts.mPassed + aCounts.mFailed;
}

void
AddRating(RatingTable& aTable,
          const RatingWriter& aWriter,
          const RatingKey& aKey,
          bool aPassed)
{
  RatingCells& row = aTable.mRows[aWriter];
  RatingCounts counts = row[aKey];
  (aPassed ? counts.mPassed : counts.mFailed) += 1;
  RaiseCounters(aTable, row, aKey, counts);
}

void
MergeRatings(RatingTable& aTable, const RatingTable& aOther)
{
  for (const auto& [writer, cells] : aOther.mRows) {
    RatingCells& row = aTable.mRows[writer];
    for (const auto& [key, counts] : cells) {
      RaiseCounters(aTable, row, key, counts);
    }
  }
}

void
TrimRatings(RatingTable& aTable,
            std::size_t aMaxRows,
            const RatingWriter& aLocalWriter)
{
  if (aTable.mRows.size() <= aMaxRows) {
    return;
  }
  // 1. Sort the rows by descending number of ratings, ties by writer, so that
  // all entries keep the same rows.
  std::vector<std::pair<std::int64_t, RatingWriter>> order;
  order.reserve(aTable.mRows.size());
  for (const auto& [writer, cells] : aTable.mRows) {
    order.emplace_back(-RowTotal(cells), writer);
  }
  std::sort(order.begin(), order.end());
  // 2. Remove the other rows and subtract them from the totals.
  for (std::size_t i = aMaxRows; i < order.size(); ++i) {
    if (order[i].second == aLocalWriter) {
      continue;
    }
    auto row = aTable.mRows.find(order[i].second);
    for (const auto& [key, counts] : row->second) {
      RatingCounts& total = aTable.mTotals[key];
      total.mPassed -= counts.mPassed;
      total.mFailed -= counts.mFailed;
    }
    aTable.mRows.erase(row);
  }
}

RatingCounts
FindCounts(const RatingTable& aTable, const RatingKey& aKey)
{
  auto found = aTable.mTotals.find(aKey);
  return found == aTable.mTotals.end() ? RatingCounts{} : found->second;
}

RatingCounts
FirstStepCounts(const RatingTable& aTable, std::string_view aVersion)
{
  RatingCounts sum;
  for (int index = 0; index < kClassCount; ++index) {
    RatingCounts counts =
      FindCounts(aTable, { index, std::string(aVersion), "" });
    sum.mPassed += counts.mPassed;
    sum.mFailed += counts.mFailed;
  }
  return sum;
}

json
RatingsToJson(const RatingTable& aTable)
{
  json rows = json::array();
  for (const auto& [writer, cells] : aTable.mRows) {
    json list = json::array();
    for (const auto& [key, counts] : cells) {
      list.push_back({ key.mClass,
                       key.mVersion,
                       key.mFailedVersion,
                       counts.mPassed,
                       counts.mFailed });
    }
    rows.push_back({ { "host", writer.first },
                     { "incarnation", writer.second },
                     { "cells", list } });
  }
  return rows;
}

tl::expected<RatingTable, std::string>
RatingsFromJson(const json& aDocument)
{
  if (!aDocument.is_array()) {
    return tl::unexpected(std::string("ratings must be a list of rows"));
  }
  RatingTable table;
  for (const auto& row : aDocument) {
    if (!IsRow(row)) {
      return tl::unexpected(
        std::string("a rating row needs host, incarnation and cells"));
    }
    RatingWriter writer{ row["host"].get<std::string>(),
                         row["incarnation"].get<std::int64_t>() };
    RatingCells& cells = table.mRows[writer];
    for (const auto& cell : row["cells"]) {
      if (!IsCell(cell)) {
        return tl::unexpected(
          "a rating cell of host " + writer.first +
          " must be [class, version, after, passed, failed]");
      }
      RaiseCounters(
        table,
        cells,
        { cell[0].get<int>(),
          cell[1].get<std::string>(),
          cell[2].get<std::string>() },
        { cell[3].get<std::int64_t>(), cell[4].get<std::int64_t>() });
    }
  }
  return table;
}

std::string
QualifiedVersion(std::string_view aModel, std::string_view aVersion)
{
  std::string text(aModel);
  text += "@";
  text += aVersion;
  return text;
}

} // namespace savory

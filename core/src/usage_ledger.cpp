#include "savory/core/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace savory {

namespace {

// Messages that state a change: one is lost now and then, and the relay to
// another zone may be down.
constexpr int kSendsPerChange = 2;

// Interval at which all totals of a window that ended are sent again, for hosts
// that have just started or were cut off.
constexpr TimeMs kResendIntervalMs = 2500;

// Windows whose rows are kept after their seal, to notice late counts.
constexpr std::int64_t kClosedWindows = 6;

// Customers that are known by number, and in the rows of one source and window.
constexpr std::size_t kMaxCustomers = 20000;
constexpr std::size_t kMaxRows = 4000;

// Processes whose counts of one window are kept.
constexpr std::size_t kMaxSources = 1024;

// Encoded bytes of a row beside the customer's name, and of a window.
constexpr std::size_t kRowBytes = 12;
constexpr std::size_t kWindowBytes = 12;

// A count above this is not believed: it could make the sums overflow.
constexpr std::int64_t kMaxTotal = 1'000'000'000;

// After a restore of the store, a seal may have been written this long before
// the restore was noticed.
constexpr TimeMs kRestoreSlackMs = 1000;

std::optional<std::uint32_t>
CustomerId(UsageLedger& aLedger, const std::string& aCustomer)
{
  auto found = aLedger.mCustomerIds.find(aCustomer);
  if (found != aLedger.mCustomerIds.end()) {
    return found->second;
  }
  if (aLedger.mCustomers.size() >= kMaxCustomers) {
    return std::nullopt;
  }
  auto id = static_cast<std::uint32_t>(aLedger.mCustomers.size());
  aLedger.mCustomers.push_back(aCustomer);
  aLedger.mCustomerIds.emplace(aCustomer, id);
  return id;
}

// The row of a customer, added with 0 if it is missing; nullptr if there are
// too many.
std::int64_t*
FindOrAddRow(UsageLedger::Rows& aRows, std::uint32_t aCustomer)
{
  auto row = std::lower_bound(
    aRows.begin(), aRows.end(), std::pair(aCustomer, std::int64_t{ 0 }));
  if (row == aRows.end() || row->first != aCustomer) {
    if (aRows.size() >= kMaxRows) {
      return nullptr;
    }
    row = aRows.insert(row, { aCustomer, 0 });
  }
  return &row->second;
}

bool
IsClosed(const UsageLedger& aLedger, std::int64_t aWindow)
{
  return aLedger.mSealed.contains(aWindow) ||
         aWindow <= aLedger.mSkippedThrough;
}

UsageLedger::Rows*
FindOrAddRows(UsageLedger& aLedger,
              const UsageSource& aSource,
              std::int64_t aWindow)
{
  auto& sources = aLedger.mWindows[aWindow];
  if (sources.size() >= kMaxSources && !sources.contains(aSource)) {
    return nullptr;
  }
  return &sources[aSource];
}

TimeMs
EndOf(const UsageLedger& aLedger, std::int64_t aWindow)
{
  return (aWindow + 1) * aLedger.mOptions.mWindowMs;
}

// The sum of all sources; customers above the bound are left out.
UsageCounts
SumCounts(UsageLedger& aLedger, std::int64_t aWindow)
{
  UsageCounts counts;
  auto found = aLedger.mWindows.find(aWindow);
  if (found == aLedger.mWindows.end()) {
    return counts;
  }
  for (const auto& [source, rows] : found->second) {
    for (const auto& [customer, total] : rows) {
      const std::string& name = aLedger.mCustomers[customer];
      if (counts.size() >= kMaxReportedCustomers && !counts.contains(name)) {
        ++aLedger.mOmittedCustomers;
      } else {
        counts[name] += total;
      }
    }
  }
  return counts;
}

void
QueueRows(UsageLedger& aLedger, std::int64_t aWindow)
{
  auto found = aLedger.mWindows.find(aWindow);
  if (found == aLedger.mWindows.end()) {
    return;
  }
  auto own = found->second.find(aLedger.mSelf);
  if (own == found->second.end()) {
    return;
  }
  for (const auto& [customer, total] : own->second) {
    int& sends = aLedger.mUnsentRows[{ aWindow, customer }];
    sends = std::max(sends, 1);
  }
}

// Queues the totals of windows that ended and are not sealed.
void
QueueEndedWindows(UsageLedger& aLedger, TimeMs aTrueMs)
{
  for (const auto& [window, sources] : aLedger.mWindows) {
    if (EndOf(aLedger, window) > aTrueMs || IsClosed(aLedger, window)) {
      continue;
    }
    auto [resent, isNew] = aLedger.mResentMs.try_emplace(window, aTrueMs);
    if (isNew || aTrueMs - resent->second >= kResendIntervalMs) {
      resent->second = aTrueMs;
      QueueRows(aLedger, window);
    }
  }
}

} // namespace

std::int64_t
WindowAt(const UsageLedger& aLedger, TimeMs aTrueMs)
{
  return aTrueMs / aLedger.mOptions.mWindowMs;
}

void
AdvanceLedger(UsageLedger& aLedger, TimeMs aTrueMs)
{
  std::int64_t current = WindowAt(aLedger, aTrueMs);
  if (!aLedger.mFirstWindow) {
    aLedger.mFirstWindow = current;
  }
  if (current == aLedger.mPrunedIn) {
    return;
  }
  aLedger.mPrunedIn = current;
  std::int64_t oldest = current - kRetainedWindows;
  auto isOld = [oldest](const auto& aRow) { return aRow.first < oldest; };
  std::erase_if(aLedger.mWindows, [&](const auto& aRow) {
    return isOld(aRow) || (aRow.first < current - kClosedWindows &&
                           IsClosed(aLedger, aRow.first));
  });
  std::erase_if(aLedger.mSealed, isOld);
  std::erase_if(aLedger.mResentMs, isOld);
  std::erase_if(aLedger.mSent,
                [oldest](std::int64_t aWindow) { return aWindow < oldest; });
  std::erase_if(aLedger.mUnsentRows, [oldest](const auto& aRow) {
    return aRow.first.first < oldest;
  });
}

void
CountUsage(UsageLedger& aLedger, const std::string& aCustomer, TimeMs aTrueMs)
{
  AdvanceLedger(aLedger, aTrueMs);
  std::int64_t window = WindowAt(aLedger, aTrueMs);
  if (IsClosed(aLedger, window)) {
    ++aLedger.mLateCounts;
    return;
  }
  auto customer = CustomerId(aLedger, aCustomer);
  UsageLedger::Rows* rows = FindOrAddRows(aLedger, aLedger.mSelf, window);
  std::int64_t* total =
    customer && rows ? FindOrAddRow(*rows, *customer) : nullptr;
  if (!total) {
    ++aLedger.mLateCounts;
    return;
  }
  ++*total;
  aLedger.mUnsentRows[{ window, *customer }] = kSendsPerChange;
}

void
MergeUsage(UsageLedger& aLedger,
           const UsageSource& aSource,
           const UsageTotals& aTotals,
           TimeMs aTrueMs)
{
  std::int64_t current = WindowAt(aLedger, aTrueMs);
  if (aTotals.mWindow > current + 1 ||
      aTotals.mWindow < current - kRetainedWindows ||
      aSource == aLedger.mSelf) {
    return;
  }
  // A peer may send rows of a sealed window that it has sent before. Windows
  // without rows here were discarded.
  bool isClosed = IsClosed(aLedger, aTotals.mWindow);
  if (isClosed && !aLedger.mWindows.contains(aTotals.mWindow)) {
    return;
  }
  UsageLedger::Rows* rows = FindOrAddRows(aLedger, aSource, aTotals.mWindow);
  if (!rows) {
    return;
  }
  for (const auto& [name, total] : aTotals.mTotals) {
    auto customer = CustomerId(aLedger, name);
    std::int64_t* known = customer ? FindOrAddRow(*rows, *customer) : nullptr;
    if (known && total > *known && total <= kMaxTotal) {
      aLedger.mLateCounts += isClosed ? total - *known : 0;
      *known = total;
    }
  }
}

std::vector<UsageTotals>
ExtractUsageToSend(UsageLedger& aLedger, std::size_t aMaxBytes, TimeMs aTrueMs)
{
  QueueEndedWindows(aLedger, aTrueMs);
  std::vector<UsageTotals> sections;
  std::size_t bytes = 0;
  auto next = aLedger.mUnsentRows.begin();
  while (next != aLedger.mUnsentRows.end()) {
    auto [window, customer] = next->first;
    if (IsClosed(aLedger, window)) {
      next = aLedger.mUnsentRows.erase(next);
      continue;
    }
    const std::string& name = aLedger.mCustomers[customer];
    bool isNewWindow = sections.empty() || sections.back().mWindow != window;
    bytes += name.size() + kRowBytes + (isNewWindow ? kWindowBytes : 0);
    if (bytes > aMaxBytes) {
      break;
    }
    if (isNewWindow) {
      sections.push_back({ window, {} });
    }
    sections.back().mTotals[name] =
      *FindOrAddRow(aLedger.mWindows[window][aLedger.mSelf], customer);
    next =
      --next->second > 0 ? std::next(next) : aLedger.mUnsentRows.erase(next);
  }
  return sections;
}

void
OnSealSeen(UsageLedger& aLedger, SealedUsage aSeal)
{
  auto [known, isNew] = aLedger.mSealed.try_emplace(aSeal.mWindow, aSeal);
  if (known->second.mCounts != aSeal.mCounts) {
    // One seal was lost with a restore of the store, and may have been reported
    // before. Two different reports of a window are worse than none.
    aLedger.mSent.insert(aSeal.mWindow);
  }
  known->second.mRevision = aSeal.mRevision;
}

void
OnSentSeen(UsageLedger& aLedger, const std::set<std::int64_t>& aWindows)
{
  aLedger.mSent.insert(aWindows.begin(), aWindows.end());
}

std::vector<SealedUsage>
MakeSeals(UsageLedger& aLedger, std::size_t aMax, TimeMs aTrueMs)
{
  std::vector<SealedUsage> seals;
  if (!aLedger.mFirstWindow) {
    return seals;
  }
  std::int64_t current = WindowAt(aLedger, aTrueMs);
  for (std::int64_t window = current - kRetainedWindows;
       window < current && seals.size() < aMax;
       ++window) {
    if (EndOf(aLedger, window) + aLedger.mOptions.mSealDelayMs > aTrueMs) {
      break;
    }
    auto known = aLedger.mSealed.find(window);
    if (known != aLedger.mSealed.end()) {
      if (known->second.mRevision == 0 && !aLedger.mSent.contains(window)) {
        seals.push_back(known->second);
      }
    } else if (window > aLedger.mSkippedThrough &&
               (window >= *aLedger.mFirstWindow ||
                aLedger.mWindows.contains(window))) {
      // A window before the start of this process is left out unless peers
      // counted in it: this process may not know that its seal was lost.
      seals.push_back({ window, SumCounts(aLedger, window), 0 });
    }
  }
  return seals;
}

const SealedUsage*
NextToReport(const UsageLedger& aLedger)
{
  for (const auto& [window, seal] : aLedger.mSealed) {
    if (seal.mRevision > 0 && !aLedger.mSent.contains(window)) {
      return &seal;
    }
  }
  return nullptr;
}

void
OnReported(UsageLedger& aLedger, std::int64_t aWindow)
{
  aLedger.mSent.insert(aWindow);
}

void
OnUsageStoreRestored(UsageLedger& aLedger, TimeMs aTrueMs)
{
  for (auto& [window, seal] : aLedger.mSealed) {
    seal.mRevision = 0;
  }
  std::int64_t last =
    WindowAt(aLedger,
             aTrueMs + kRestoreSlackMs - aLedger.mOptions.mSealDelayMs) -
    1;
  aLedger.mSkippedThrough = std::max(aLedger.mSkippedThrough, last);
}

std::int64_t
ExtractLateCounts(UsageLedger& aLedger)
{
  return std::exchange(aLedger.mLateCounts, 0);
}

} // namespace savory

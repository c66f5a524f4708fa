#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savory {

// The requests that began to run, by window of time and customer: what this
// host counted, what its peers counted, and the windows that are sealed, that
// is, whose counts are final. All times are wall-clock times by TrueTime.

// Windows that are retained until they are sealed, and afterwards.
inline constexpr std::int64_t kRetainedWindows = 48;

// Windows that have a key in the store; window k has the key k modulo this.
inline constexpr std::int64_t kSealKeys = 64;

// Customers in the report of a window, at most.
inline constexpr std::size_t kMaxReportedCustomers = 2000;

struct UsageOptions
{
  TimeMs mWindowMs = 5000;
  // Time from the end of a window to its seal, in which peers' counts arrive.
  TimeMs mSealDelayMs = 3500;
};

// Keyed by customer.
using UsageCounts = std::map<std::string, std::int64_t>;

// The counts of one host in a window, as a peer message states them. A total
// replaces a lower one, so that repeated messages are harmless.
struct UsageTotals
{
  std::int64_t mWindow = 0;
  UsageCounts mTotals;
};

struct SealedUsage
{
  std::int64_t mWindow = 0;
  UsageCounts mCounts;
  // Revision of the store's entry; 0 if the store lacks it.
  std::int64_t mRevision = 0;
};

// One process of a host: its name and a number that differs between starts. A
// host that restarted counts from zero beside what it counted before.
using UsageSource = std::pair<std::string, std::uint64_t>;

struct UsageLedger
{
  UsageOptions mOptions;
  UsageSource mSelf;
  // The first window that this process observed; empty before the first call.
  std::optional<std::int64_t> mFirstWindow;
  // Numbers of customers, which keep the rows below small.
  std::map<std::string, std::uint32_t> mCustomerIds;
  std::vector<std::string> mCustomers;
  // The window in which old rows were last discarded.
  std::int64_t mPrunedIn = 0;
  // Customer number and count, sorted by number.
  using Rows = std::vector<std::pair<std::uint32_t, std::int64_t>>;
  std::map<std::int64_t, std::map<UsageSource, Rows>> mWindows;
  // Rows of this host that are still to be sent to peers: how many times.
  std::map<std::pair<std::int64_t, std::uint32_t>, int> mUnsentRows;
  // When all rows of a window were last queued for sending.
  std::map<std::int64_t, TimeMs> mResentMs;
  // Windows whose seals this host has seen, also those that a restored store
  // lacks.
  std::map<std::int64_t, SealedUsage> mSealed;
  std::set<std::int64_t> mSent;
  // Windows up to this one that no known seal covers count as sent: the store
  // was restored from an older snapshot and may have lost their seals.
  std::int64_t mSkippedThrough = 0;
  // Counts that arrived after the seal of their window, since the last call of
  // ExtractLateCounts.
  std::int64_t mLateCounts = 0;
  // Customers that were left out of seals for their number.
  std::int64_t mOmittedCustomers = 0;
};

std::int64_t
WindowAt(const UsageLedger& aLedger, TimeMs aTrueMs);

// To be called several times a second, and cheap but for the first call in a
// window: notes the first window and discards old
// ones.
void
AdvanceLedger(UsageLedger& aLedger, TimeMs aTrueMs);

// A request of this host began to run.
void
CountUsage(UsageLedger& aLedger, const std::string& aCustomer, TimeMs aTrueMs);

// A peer stated totals. Windows that cannot be current are ignored.
void
MergeUsage(UsageLedger& aLedger,
           const UsageSource& aSource,
           const UsageTotals& aTotals,
           TimeMs aTrueMs);

// Returns what the next message to the peers states, up to aMaxBytes encoded.
// Each change is sent several times, as messages may be lost, and all totals of
// a window that ended are sent again until it is sealed.
std::vector<UsageTotals>
ExtractUsageToSend(UsageLedger& aLedger, std::size_t aMaxBytes, TimeMs aTrueMs);

// The store has the seal of a window.
void
OnSealSeen(UsageLedger& aLedger, SealedUsage aSeal);

// The windows that were reported, by the mark in the store.
void
OnSentSeen(UsageLedger& aLedger, const std::set<std::int64_t>& aWindows);

// Returns the seals to write next, oldest first and at most aMax: of windows
// that ended long enough ago, and known ones that the store has lost.
std::vector<SealedUsage>
MakeSeals(UsageLedger& aLedger, std::size_t aMax, TimeMs aTrueMs);

// The oldest sealed window that was not reported and whose seal is in the
// store.
const SealedUsage*
NextToReport(const UsageLedger& aLedger);

void
OnReported(UsageLedger& aLedger, std::int64_t aWindow);

// The store was restored from an older snapshot: no entry of it is known.
void
OnUsageStoreRestored(UsageLedger& aLedger, TimeMs aTrueMs);

std::int64_t
ExtractLateCounts(UsageLedger& aLedger);

} // namespace savory

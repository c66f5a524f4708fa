#pragma once

#include "savory/core/crash_suspects.h"
#include "savory/core/store_revision.h"
#include "savory/core/usage_ledger.h"
#include "savory/core/version_shift.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// The datagrams that entry hosts of the fleet platform exchange. Each begins
// with a byte for the version of the format and one for the kind; a CBOR
// document follows. Receivers skip fields that they do not know. Delivery need
// not be reliable.

// The largest datagram that is sent. Receivers take twice as much.
inline constexpr std::size_t kMaxPeerDatagramBytes = 8 * 1024;

enum class PeerDatagramKind : std::uint8_t
{
  // The state of a host, sent several times a second.
  Beacon = 1,
  // A beacon that the receiver forwards as Beacon to the hosts of its zone.
  RelayedBeacon = 2,
  // Changes of the store, from a host that watches it.
  Changes = 3,
};

// The state of a host. The next message replaces a lost one.
struct PeerMessage
{
  std::string mHost;
  std::string mAddress;
  std::string mZone;
  // The store's revision that the sender has applied.
  StoreRevision mStoreRevision;
  bool mLeaving = false;
  // The sender can call the store, as far as it knows.
  bool mMayWatch = false;
  // Age of the sender's last answer from the store itself; empty if it has had
  // none.
  std::optional<TimeMs> mContactAgeMs;
  // Time since the end of the last outage of the store that the sender saw.
  TimeMs mReachableForMs = 0;
  // See ZonePeer.
  double mCapacity = 0;
  // Number of hosts that the sender considers live, itself included.
  int mLiveHosts = 1;
  struct Shift
  {
    StoreRevision mOrderRevision;
    TimeMs mOrderAgeMs = 0;
    ShiftCounts mCounts;
  };
  // Version shifts in progress, keyed by service.
  std::map<std::string, Shift> mShifts;
  // Prefills that the sender sent to a runner since its last report: their
  // expected milliseconds in total, and the PrefixCacheKeys of their shared
  // prompt parts.
  struct PrefillReport
  {
    double mPrefillMs = 0;
    std::vector<std::uint64_t> mPartKeys;
  };
  // Keyed by runner; only runners with prefills since the last message.
  std::map<std::string, PrefillReport> mPrefills;
  CrashReport mCrashes;
  // Requests that began to run, where the hosts report them to the platform.
  struct UsageReport
  {
    // The sender's wall clock.
    TimeMs mWallMs = 0;
    // Differs between the starts of the sender's process.
    std::uint64_t mIncarnation = 0;
    std::vector<UsageTotals> mTotals;
  };
  std::optional<UsageReport> mUsage;
  // Addresses of some hosts that the sender considers live, others each time.
  std::vector<std::string> mLiveAddresses;
};

// One changed key of the store.
struct ChangeRow
{
  std::string mKey;
  // Empty if the key was deleted.
  std::optional<std::string> mValue;
  std::int64_t mRevision = 0;
  // Where not 0, mValue is a delta to the key's value at this revision.
  std::int64_t mBaseRevision = 0;
};

// The changes of the store after one revision up to another.
struct ChangeMessage
{
  std::string mAddress;
  // The store's epoch, which all revisions of the message have.
  std::int64_t mEpoch = 0;
  std::int64_t mFromRevision = 0;
  std::int64_t mToRevision = 0;
  // The changes are those of a whole list; see StoreChanges.
  bool mIsFromList = false;
  std::vector<ChangeRow> mRows;
};

// Returns a datagram of the kind Beacon.
std::string
EncodePeerMessage(const PeerMessage& aMessage);

// Returns an empty text when the changes do not fit into a datagram; the
// receivers then fetch them.
std::string
EncodeChangeMessage(const ChangeMessage& aMessage);

// The kind of a datagram. The error states why the datagram cannot be read.
tl::expected<PeerDatagramKind, std::string>
ParseDatagramKind(std::string_view aBytes);

// Changes the kind of a datagram, which must have its header.
void
SetDatagramKind(std::string& aBytes, PeerDatagramKind aKind);

// The decoders return nothing for malformed bytes.
std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes);
std::optional<ChangeMessage>
DecodeChangeMessage(std::string_view aBytes);

// Largest part of a beacon that usage totals take, in bytes.
inline constexpr std::size_t kMaxUsageBytes = kMaxPeerDatagramBytes / 4;

// Bytes that a prefill report takes in a beacon, at most.
std::size_t
EncodedPrefillBytes(std::string_view aRunner,
                    const PeerMessage::PrefillReport& aReport);

} // namespace savory

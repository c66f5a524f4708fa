#pragma once

#include "savory/core/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace savory {

// Bounds the bytes that a process buffers on behalf of others: the requests of
// callers and the answers to them. Addresses clients that send many bodies of
// permitted size at once and stop just short of their end, which would
// otherwise take the memory of the machine.

struct ByteBudgetOptions
{
  // Bytes that all holders together may take beyond their guaranteed minimums.
  std::size_t mCapacityBytes = std::size_t{ 512 } * 1024 * 1024;
  // Bytes that each holder may always take.
  std::size_t mGuaranteedBytes = std::size_t{ 64 } * 1024;
  // A sender of a long body that delivers less than mProgressBytes for this
  // long is shed while others wait.
  TimeMs mStalledMs = 1000;
  std::size_t mProgressBytes = std::size_t{ 8 } * 1024;
  // What the kernel may hold for a connection that is not read; it counts
  // against the memory of the process on small machines.
  std::size_t mUnreadSocketBytes = std::size_t{ 64 } * 1024;
  // How long a holder waits for headroom before it is refused.
  TimeMs mMaxWaitMs = 3000;
  // Minimum rate of a sender, averaged over each window but the first. Callers
  // within the limits send a body of 4 MiB within a deadline of 25 s at most,
  // that is, with 160 KiB/s.
  std::size_t mMinBytesPerS = 256;
  TimeMs mRateWindowMs = 10000;
};

// One connection that holds bytes.
struct ByteHolder
{
  // The address of the client, without its port.
  std::string mClient;
  std::size_t mHeldBytes = 0;
  // Bytes that the sender has announced and not delivered.
  std::size_t mRemainingBytes = 0;
  // A request is arriving; false for idle connections and for those whose
  // request is complete, which are never shed.
  bool mIsReceiving = false;
  TimeMs mReceivingSinceMs = 0;
  // When mProgressBytes had arrived last, and the bytes since.
  TimeMs mLastProgressMs = 0;
  std::size_t mBytesSinceProgress = 0;
  TimeMs mWindowStartMs = 0;
  std::size_t mWindowBytes = 0;
  // The holder was denied bytes, and its input is not being read.
  bool mIsWaiting = false;
  TimeMs mWaitingSinceMs = 0;
};

enum class ShedReason
{
  // The sender is slower than the minimum rate.
  Slow,
  // The sender delivers hardly anything while others wait for its bytes.
  Stalled,
  // There is no headroom for the request.
  NoHeadroom,
};

inline constexpr std::array<EnumName<ShedReason>, 3> kShedReasonNames{ {
  { ShedReason::Slow, "slow" },
  { ShedReason::Stalled, "stalled" },
  { ShedReason::NoHeadroom, "no-headroom" },
} };

// A holder that is to be refused.
struct ShedHolder
{
  std::uint64_t mId = 0;
  ShedReason mReason = ShedReason::Slow;
};

struct ByteBudget
{
  ByteBudgetOptions mOptions;
  // Keyed by id, in the order of their arrival.
  std::map<std::uint64_t, ByteHolder> mHolders;
  std::uint64_t mLastId = 0;
  std::size_t mHeldBytes = 0;
  // Bytes beyond the guaranteed minimums, of all holders.
  std::size_t mSharedBytes = 0;
  std::size_t mWaitingCount = 0;
};

// Returns the id of the new holder.
std::uint64_t
AddByteHolder(ByteBudget& aBudget, const std::string& aClient);

void
RemoveByteHolder(ByteBudget& aBudget, std::uint64_t aId);

// States how many bytes a holder has now.
void
SetHeldBytes(ByteBudget& aBudget, std::uint64_t aId, std::size_t aBytes);

// A request begins to arrive. Later ones of the same connection begin anew.
void
OnReceiveStarted(ByteBudget& aBudget, std::uint64_t aId, TimeMs aNowMs);

// Bytes of the request arrived; aRemainingBytes are announced and missing.
void
OnReceived(ByteBudget& aBudget,
           std::uint64_t aId,
           std::size_t aBytes,
           std::size_t aRemainingBytes,
           TimeMs aNowMs);

// The request is complete, or the holder was refused.
void
OnReceiveEnded(ByteBudget& aBudget, std::uint64_t aId);

// Whether a holder may take aBytes more. Within its minimum it always may. For
// bytes beyond it there must be headroom, also for what the holders that came
// earlier have announced, so that some requests become complete instead of all
// getting stuck halfway. While holders of other addresses wait, an address
// gets no more than an equal share.
bool
MayHold(const ByteBudget& aBudget, std::uint64_t aId, std::size_t aBytes);

// Whether one more holder may wait. The unread bytes of all that wait are kept
// below the capacity, too; further holders are refused at once.
bool
MayWait(const ByteBudget& aBudget);

// The holder waits for headroom from now on, or no longer does.
void
SetWaiting(ByteBudget& aBudget,
           std::uint64_t aId,
           bool aIsWaiting,
           TimeMs aNowMs);

// Finds the holders that are to be refused now: those below the minimum rate,
// those that waited too long and, while others wait, those that are stalled.
// If all that receive have waited for each other for mStalledMs, the one that
// holds least of those whose address holds most gives way. Holders that are
// complete are left alone.
std::vector<ShedHolder>
FindHoldersToShed(const ByteBudget& aBudget, TimeMs aNowMs);

// The waiting holders in the order of their arrival.
std::vector<std::uint64_t>
FindWaitingHolders(const ByteBudget& aBudget);

// How the descriptors and the memory of a machine are divided.
struct ProcessLimits
{
  // The most connections of callers; the rest of the descriptors is for files,
  // the store, peers, operators and runners.
  std::size_t mMaxCallers = 0;
  // The most connections to runners; 0 means no limit.
  std::size_t mMaxRunnerLinks = 0;
  ByteBudgetOptions mBytes;
};

// aMemoryBytes is the memory of the machine and aMaxDescriptors the most open
// descriptors of the process; 0 for either keeps the default. A quarter of the
// memory is buffered bytes at most, unless aBudgetBytes states another number;
// as much again may go to the minimums of the connections.
ProcessLimits
DeriveProcessLimits(std::uint64_t aMemoryBytes,
                    std::uint64_t aBudgetBytes,
                    std::size_t aMaxDescriptors);

} // namespace savory

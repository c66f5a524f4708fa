#include "savory/core/byte_budget.h"

#include <algorithm>
#include <optional>

namespace savory {

namespace {

// Share of the memory for buffered bytes. The rest is for the process itself,
// the copies that exist while a buffer grows, and the kernel's socket buffers.
constexpr std::uint64_t kMemoryFraction = 4;

// Bounds of the guaranteed minimum. The lower one holds an ordinary request
// with a short header section.
constexpr std::size_t kMinGuaranteedBytes = std::size_t{ 8 } * 1024;
constexpr std::size_t kMaxGuaranteedBytes = std::size_t{ 64 } * 1024;

// Descriptors for files, at most a quarter of all.
constexpr std::size_t kFileDescriptors = 200;

// A quarter of the other descriptors is for the store, peers, operators and
// runners; of these, so many, at most half, are not for runners.
constexpr std::size_t kReservedFraction = 4;
constexpr std::size_t kOtherDescriptors = 64;

std::size_t
SharedPart(const ByteBudget& aBudget, std::size_t aHeldBytes)
{
  std::size_t guaranteed = aBudget.mOptions.mGuaranteedBytes;
  return aHeldBytes > guaranteed ? aHeldBytes - guaranteed : 0;
}

// Bytes beyond the minimums by address, of the addresses that hold some or wait
// for them.
std::map<std::string, std::size_t>
SharedBytesByClient(const ByteBudget& aBudget)
{
  std::map<std::string, std::size_t> bytes;
  for (const auto& [id, holder] : aBudget.mHolders) {
    std::size_t shared = SharedPart(aBudget, holder.mHeldBytes);
    if (shared > 0 || holder.mIsWaiting) {
      bytes[holder.mClient] += shared;
    }
  }
  return bytes;
}

bool
HasOtherWaitingClient(const ByteBudget& aBudget, const std::string& aClient)
{
  return aBudget.mWaitingCount > 0 &&
         std::any_of(aBudget.mHolders.begin(),
                     aBudget.mHolders.end(),
                     [&](const auto& aRow) {
                       return aRow.second.mIsWaiting &&
                              aRow.second.mClient != aClient;
                     });
}

bool
IsSlow(const ByteBudget& aBudget, const ByteHolder& aHolder, TimeMs aNowMs)
{
  const ByteBudgetOptions& options = aBudget.mOptions;
  TimeMs elapsedMs = aNowMs - aHolder.mWindowStartMs;
  bool isFirstWindow = aHolder.mWindowStartMs == aHolder.mReceivingSinceMs;
  if (aHolder.mIsWaiting || isFirstWindow ||
      elapsedMs < options.mRateWindowMs) {
    return false;
  }
  auto minBytes = options.mMinBytesPerS *
                  static_cast<std::size_t>(options.mRateWindowMs) / 1000;
  return aHolder.mWindowBytes < minBytes;
}

// The receiving holder that gives way when all of them wait for each other.
std::optional<std::uint64_t>
FindYieldingHolder(const ByteBudget& aBudget)
{
  auto byClient = SharedBytesByClient(aBudget);
  std::optional<std::uint64_t> chosen;
  std::pair<std::size_t, std::size_t> least;
  for (const auto& [id, holder] : aBudget.mHolders) {
    if (!holder.mIsReceiving || SharedPart(aBudget, holder.mHeldBytes) == 0) {
      continue;
    }
    // The largest address first, then the smallest holder, then the latest.
    std::pair rank{ SIZE_MAX - byClient[holder.mClient], holder.mHeldBytes };
    if (!chosen || rank <= least) {
      chosen = id;
      least = rank;
    }
  }
  return chosen;
}

} // namespace

std::uint64_t
AddByteHolder(ByteBudget& aBudget, const std::string& aClient)
{
  std::uint64_t id = ++aBudget.mLastId;
  aBudget.mHolders[id].mClient = aClient;
  return id;
}

void
RemoveByteHolder(ByteBudget& aBudget, std::uint64_t aId)
{
  SetHeldBytes(aBudget, aId, 0);
  SetWaiting(aBudget, aId, false, 0);
  aBudget.mHolders.erase(aId);
}

void
SetHeldBytes(ByteBudget& aBudget, std::uint64_t aId, std::size_t aBytes)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end()) {
    return;
  }
  std::size_t& held = found->second.mHeldBytes;
  aBudget.mSharedBytes -= SharedPart(aBudget, held);
  aBudget.mHeldBytes -= held;
  held = aBytes;
  aBudget.mHeldBytes += held;
  aBudget.mSharedBytes += SharedPart(aBudget, held);
}

void
OnReceiveStarted(ByteBudget& aBudget, std::uint64_t aId, TimeMs aNowMs)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end()) {
    return;
  }
  ByteHolder& holder = found->second;
  holder.mIsReceiving = true;
  holder.mReceivingSinceMs = aNowMs;
  holder.mLastProgressMs = aNowMs;
  holder.mBytesSinceProgress = 0;
  holder.mWindowStartMs = aNowMs;
  holder.mWindowBytes = 0;
  holder.mRemainingBytes = 0;
}

void
OnReceived(ByteBudget& aBudget,
           std::uint64_t aId,
           std::size_t aBytes,
           std::size_t aRemainingBytes,
           TimeMs aNowMs)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end()) {
    return;
  }
  ByteHolder& holder = found->second;
  holder.mRemainingBytes = aRemainingBytes;
  if (aBytes == 0) {
    return;
  }
  holder.mBytesSinceProgress += aBytes;
  if (holder.mBytesSinceProgress >= aBudget.mOptions.mProgressBytes) {
    holder.mLastProgressMs = aNowMs;
    holder.mBytesSinceProgress = 0;
  }
  // A window that is over is judged first, see IsSlow.
  if (aNowMs - holder.mWindowStartMs >= aBudget.mOptions.mRateWindowMs &&
      !IsSlow(aBudget, holder, aNowMs)) {
    holder.mWindowStartMs = aNowMs;
    holder.mWindowBytes = 0;
  }
  holder.mWindowBytes += aBytes;
}

void
OnReceiveEnded(ByteBudget& aBudget, std::uint64_t aId)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end()) {
    return;
  }
  SetWaiting(aBudget, aId, false, 0);
  found->second.mIsReceiving = false;
  found->second.mRemainingBytes = 0;
}

bool
MayHold(const ByteBudget& aBudget, std::uint64_t aId, std::size_t aBytes)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end()) {
    return false;
  }
  const ByteHolder& holder = found->second;
  std::size_t more = SharedPart(aBudget, holder.mHeldBytes + aBytes) -
                     SharedPart(aBudget, holder.mHeldBytes);
  if (more == 0) {
    return true;
  }
  std::size_t capacity = aBudget.mOptions.mCapacityBytes;
  if (aBudget.mSharedBytes + more > capacity) {
    return false;
  }
  // What earlier holders have announced is theirs; a holder that only waits for
  // its first bytes beyond the minimum has no claim yet.
  std::size_t claimed = 0;
  for (const auto& [id, other] : aBudget.mHolders) {
    if (id >= aId) {
      break;
    }
    if (other.mIsReceiving && SharedPart(aBudget, other.mHeldBytes) > 0) {
      claimed += other.mRemainingBytes;
    }
  }
  if (aBudget.mSharedBytes + more + claimed > capacity) {
    return false;
  }
  if (!HasOtherWaitingClient(aBudget, holder.mClient)) {
    return true;
  }
  auto byClient = SharedBytesByClient(aBudget);
  std::size_t own = byClient[holder.mClient];
  return own + more <= capacity / byClient.size();
}

bool
MayWait(const ByteBudget& aBudget)
{
  return (aBudget.mWaitingCount + 1) * aBudget.mOptions.mUnreadSocketBytes <=
         aBudget.mOptions.mCapacityBytes;
}

void
SetWaiting(ByteBudget& aBudget,
           std::uint64_t aId,
           bool aIsWaiting,
           TimeMs aNowMs)
{
  auto found = aBudget.mHolders.find(aId);
  if (found == aBudget.mHolders.end() ||
      found->second.mIsWaiting == aIsWaiting) {
    return;
  }
  ByteHolder& holder = found->second;
  holder.mIsWaiting = aIsWaiting;
  if (aIsWaiting) {
    ++aBudget.mWaitingCount;
    holder.mWaitingSinceMs = aNowMs;
  } else {
    --aBudget.mWaitingCount;
    // The time in which nothing was read does not count against the sender.
    holder.mLastProgressMs = std::max(holder.mLastProgressMs, aNowMs);
    holder.mReceivingSinceMs = aNowMs;
    holder.mWindowStartMs = aNowMs;
    holder.mWindowBytes = 0;
  }
}

std::vector<ShedHolder>
FindHoldersToShed(const ByteBudget& aBudget, TimeMs aNowMs)
{
  const ByteBudgetOptions& options = aBudget.mOptions;
  std::vector<ShedHolder> shed;
  bool isAnyoneMoving = false;
  TimeMs longestWaitMs = 0;
  for (const auto& [id, holder] : aBudget.mHolders) {
    if (!holder.mIsReceiving) {
      continue;
    }
    if (holder.mIsWaiting) {
      longestWaitMs = std::max(longestWaitMs, aNowMs - holder.mWaitingSinceMs);
    }
    bool isStalled = !holder.mIsWaiting &&
                     SharedPart(aBudget, holder.mHeldBytes) > 0 &&
                     aNowMs - holder.mLastProgressMs >= options.mStalledMs;
    if (IsSlow(aBudget, holder, aNowMs)) {
      shed.push_back({ id, ShedReason::Slow });
    } else if (holder.mIsWaiting &&
               aNowMs - holder.mWaitingSinceMs >= options.mMaxWaitMs) {
      shed.push_back({ id, ShedReason::NoHeadroom });
    } else if (isStalled && aBudget.mWaitingCount > 0) {
      shed.push_back({ id, ShedReason::Stalled });
    } else {
      isAnyoneMoving |=
        !holder.mIsWaiting && SharedPart(aBudget, holder.mHeldBytes) > 0;
    }
  }
  if (shed.empty() && !isAnyoneMoving && longestWaitMs >= options.mStalledMs) {
    if (auto id = FindYieldingHolder(aBudget)) {
      shed.push_back({ *id, ShedReason::NoHeadroom });
    }
  }
  return shed;
}

std::vector<std::uint64_t>
FindWaitingHolders(const ByteBudget& aBudget)
{
  std::vector<std::uint64_t> ids;
  if (aBudget.mWaitingCount == 0) {
    return ids;
  }
  for (const auto& [id, holder] : aBudget.mHolders) {
    if (holder.mIsWaiting) {
      ids.push_back(id);
    }
  }
  return ids;
}

ProcessLimits
DeriveProcessLimits(std::uint64_t aMemoryBytes,
                    std::uint64_t aBudgetBytes,
                    std::size_t aMaxDescriptors)
{
  ProcessLimits limits;
  if (aMemoryBytes > 0) {
    limits.mBytes.mCapacityBytes = aMemoryBytes / kMemoryFraction;
  }
  if (aBudgetBytes > 0) {
    limits.mBytes.mCapacityBytes = aBudgetBytes;
  }
  if (aMaxDescriptors > 0) {
    std::size_t files = std::min(kFileDescriptors, aMaxDescriptors / 4);
    std::size_t rest = aMaxDescriptors - files;
    std::size_t reserved = rest / kReservedFraction;
    limits.mMaxCallers = std::max<std::size_t>(1, rest - reserved);
    limits.mMaxRunnerLinks = std::max<std::size_t>(
      1, reserved - std::min(kOtherDescriptors, reserved / 2));
    limits.mBytes.mGuaranteedBytes =
      std::clamp(limits.mBytes.mCapacityBytes / limits.mMaxCallers,
                 kMinGuaranteedBytes,
                 kMaxGuaranteedBytes);
  }
  return limits;
}

} // namespace savory

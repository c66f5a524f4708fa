#pragma once

#include "savory/core/duty_lease.h"
#include "savory/core/true_time.h"
#include "savory/core/usage_ledger.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace savory {

// Several hosts with the duty of the usage report, a store and a cloud
// interface, in simulated time. Calls have delays and may be lost on their way
// there or back, or be executed seconds later.
class DutySimulation
{
public:
  struct Faults
  {
    double mLostCalls = 0;
    double mLostAnswers = 0;
    double mLateCalls = 0;
    double mLostMessages = 0;
  };
  struct Report
  {
    TimeMs mAtMs;
    int mHost;
    std::int64_t mToken;
    std::int64_t mWindow;
    UsageCounts mCounts;
  };

  DutySimulation(int aHosts, std::uint64_t aSeed);
  void Run(TimeMs aMs);
  // Counts a request at a host, in true time.
  void Count(int aHost, const std::string& aCustomer);
  int Holder() const;
  void Kill(int aHost) { mHosts[aHost].mAlive = false; }
  void Suspend(int aHost, TimeMs aMs) { mHosts[aHost].mAwakeMs = mNowMs + aMs; }
  void SaveStore() { mSaved = mStore; }
  // Restores the saved state in a new epoch.
  void RestoreStore();

  TimeMs mNowMs = 1'000'000'000;
  Faults mFaults;
  bool mStoreDown = false;
  // 0 for calls that are executed.
  int mCloudStatus = 0;
  // Hosts whose calls arrive, but not the answers to them.
  std::map<int, bool> mNoAnswers;
  std::map<int, TimeMs> mWallErrors;
  std::vector<Report> mReports;
  // Calls that were refused for their token, by host and token.
  std::vector<std::pair<int, std::int64_t>> mFenced;
  // What the hosts counted, by window of true time.
  std::map<std::int64_t, UsageCounts> mTruth;
  // Called when the store has executed a seal.
  std::function<void(int)> mOnSealed = [](int) {};

private:
  struct Store
  {
    std::int64_t mEpoch = 1;
    std::int64_t mRevision = 10;
    std::int64_t mKeyRevision = 0;
    std::int64_t mKeyLease = 0;
    std::map<std::int64_t, SealedUsage> mSeals;
    std::map<std::int64_t, TimeMs> mLeases;
    std::int64_t mLastLease = 0;
  };
  struct Host
  {
    bool mAlive = true;
    TimeMs mAwakeMs = 0;
    DutyLease mLease;
    UsageLedger mLedger;
    TrueTime mTime;
    Store mReplica;
    std::deque<std::function<void()>> mAnswers;
    bool mSealing = false;
    bool mSending = false;
    TimeMs mNextSendMs = 0;
    TimeMs mNextSealMs = 0;
  };
  // Returns the answer's effect, with true if the call was executed.
  using Execute = std::function<std::function<void()>()>;

  void At(TimeMs aMs, std::function<void()> aEvent);
  bool Chance(double aShare);
  TimeMs Delay()
  {
    return std::uniform_int_distribution<TimeMs>(1, 40)(mRandom);
  }
  void Call(int aHost,
            TimeMs aTimeoutMs,
            Execute aExecute,
            std::function<void()> aOnUnknown);
  void Tick(int aHost);
  void Exchange(int aHost);
  void StepLease(int aHost);
  void Seal(int aHost, TimeMs aTrueMs);
  void Send(int aHost);
  void ExpireLeases();
  TimeMs TrueMs(int aHost);

  std::mt19937_64 mRandom;
  std::multimap<TimeMs, std::function<void()>> mEvents;
  std::vector<Host> mHosts;
  Store mStore;
  Store mSaved;
  std::int64_t mHighestToken = 0;
};

} // namespace savory

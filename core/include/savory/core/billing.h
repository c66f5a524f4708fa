#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <variant>
#include <vector>

namespace savory {

// Identifies one run of a step of a request. A step that was resumed or
// repeated on another backend server has several runs, which differ in the
// attempt.
struct StepId
{
  std::string mRequestId;
  int mStep = 0;
  int mAttempt = 0;

  bool operator==(const StepId&) const = default;
  bool operator<(const StepId& aOther) const
  {
    return std::tie(mRequestId, mStep, mAttempt) <
           std::tie(aOther.mRequestId, aOther.mStep, aOther.mAttempt);
  }
};

// The usage of a run. mAgent is the host of the agent that executed the run and
// keeps a copy. mComplete is false for a run that was cancelled or broken off.
struct BillStep
{
  StepId mId;
  std::string mCustomer;
  std::string mService;
  std::string mVersion;
  std::string mAgent;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  Micros mCost = 0;
  bool mComplete = true;

  bool operator==(const BillStep&) const = default;
};

// The store value at bill/WRITER/SEQ.
struct BillBatch
{
  std::string mWriter;
  std::int64_t mSequence = 0;
  std::vector<BillStep> mSteps;
};

struct BillingOptions
{
  TimeMs mWriteIntervalMs = 1000;
  // Time for which a copy is held to wait for the entry's acknowledgement: 0 at
  // an entry, 10000 at an agent.
  TimeMs mHoldMs = 0;
  TimeMs mRetryMs = 1000;
  std::size_t mMaxUnwritten = 100000;
  // The store accepts values of up to one megabyte.
  std::size_t mMaxBatchBytes = 900000;
};

// Create bill/WRITER/SEQ unless it exists. Only this process writes under its
// writer name, so a value that already exists counts as written.
struct WriteBills
{
  std::int64_t mSequence = 0;
  std::string mValue;
};

// Notify an agent that the steps are in the store.
struct SendSettled
{
  std::string mAgent;
  std::vector<StepId> mSteps;
};

using BillingAction = std::variant<WriteBills, SendSettled>;
using BillingActions = std::vector<BillingAction>;

struct BillsInFlight
{
  std::int64_t mSequence = 0;
  std::string mValue;
  std::vector<BillStep> mSteps;
  bool mRetryPending = false;
  TimeMs mSentMs = 0;
};

// The unwritten steps of one process. mWriter is HOST-INCARNATION.
struct Billing
{
  BillingOptions mOptions;
  std::string mWriter;
  std::int64_t mNextSequence = 1;
  TimeMs mLastWriteMs = 0;
  std::deque<BillStep> mQueue;
  std::map<StepId, BillStep> mHeld;
  std::deque<std::pair<TimeMs, StepId>> mHeldDeadlines;
  std::optional<BillsInFlight> mInFlight;
};

Billing
MakeBilling(const std::string& aWriter, const BillingOptions& aOptions);

// The steps that are not known to be in the store.
std::size_t
UnwrittenSteps(const Billing& aBilling);

// Whether new work can be accepted, that is, whether there is room for the step
// that it adds when it ends. aRunning is the number of accepted steps that have
// not ended yet.
bool
CanBill(const Billing& aBilling, std::size_t aRunning);

// Adds a step that ended. It is never refused: CanBill enforces the bound
// before the work is accepted. A step whose copy is already held is ignored.
void
AddStep(Billing& aBilling, BillStep aStep, TimeMs aNowMs);

// Drops the agent's copies of steps that the entry has written.
void
OnStepsSettled(Billing& aBilling, const std::vector<StepId>& aSteps);

// Handles the store's answer to WriteBills.
BillingActions
OnBillsAnswer(Billing& aBilling,
              std::int64_t aSequence,
              bool aWritten,
              TimeMs aNowMs);

// Writes the batches that are due. NextBillingMs is the time at which the next
// call is needed.
BillingActions
TickBilling(Billing& aBilling, TimeMs aNowMs);
std::optional<TimeMs>
NextBillingMs(const Billing& aBilling);

// Moves every held copy to the queue and writes the next batch at once, unless
// one is in flight. For a graceful shutdown.
BillingActions
FlushBilling(Billing& aBilling, TimeMs aNowMs);

// Copies of all unwritten steps, for a peer that writes them when the store is
// unreachable at a graceful shutdown. Duplicates are harmless.
std::vector<BillStep>
CopyUnwrittenSteps(const Billing& aBilling);

// The totals of a customer. mCost counts each step of a request once and is
// what the customer pays; mRunCost counts every run, also cancelled ones.
struct CustomerTotal
{
  std::int64_t mRequests = 0;
  std::int64_t mSteps = 0;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  Micros mCost = 0;
  Micros mRunCost = 0;

  bool operator==(const CustomerTotal&) const = default;
};

// The union of batches, independent of their order and repetition.
struct Settlement
{
  std::map<StepId, BillStep> mRuns;
};

void
Settle(Settlement& aSettlement, const BillBatch& aBatch);

std::map<std::string, CustomerTotal>
TotalsByCustomer(const Settlement& aSettlement);

struct BillingError
{
  std::string mReason;
};

nlohmann::json
ToJson(const BillStep& aStep);
nlohmann::json
ToJson(const BillBatch& aBatch);
nlohmann::json
ToJson(const StepId& aId);
tl::expected<BillBatch, BillingError>
ParseBillBatch(std::string_view aText);
tl::expected<BillStep, BillingError>
ParseBillStep(const nlohmann::json& aDocument);
tl::expected<StepId, BillingError>
ParseStepId(const nlohmann::json& aDocument);

} // namespace savory

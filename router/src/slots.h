#pragma once

#include "node.h"
#include "savory/core/record.h"
#include "savory/net/inner.h"
#include "savory/platform/host_list.h"
#include "savory/platform/store.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savory {

// Returns the number of the slot that a customer's key hashes to.
int
HashKeyToSlot(const Service& aService,
              const std::string& aCustomer,
              const std::string& aKey);

// Callbacks by which the record of a slot drives one call with a key.
struct KeyedHandlers
{
  // Sends the call to the backend server, once, and reports its result with
  // Slots::OnBackendResult.
  sigc::slot<void()> mDispatch;
  sigc::slot<void(const AnswerCall&)> mAnswer;
};

// A slot at this agent, from the attempt to acquire it until ownership ends.
struct HeldSlot
{
  int mNumber = 0;
  Slot mSlot;
  // The last known store revision of the slot's status.
  std::int64_t mRevision = 0;
  // Whether the slot's lease key is bound to the agent's present lease.
  bool mLeaseBound = false;
  bool mWasServing = false;
  Timer mTickTimer;
};

// The answer of a witness: a document and, for a fetch, claims.
struct WitnessReply
{
  nlohmann::json mHead;
  std::vector<Claim> mClaims;
};

using WitnessCallback = sigc::slot<void(const std::optional<WitnessReply>&)>;

// The slots of a plain service that this agent owns, with their records, and
// the claims that it holds as a witness for other agents.
class Slots
{
public:
  Slots(Node& aNode, std::string aService);
  ~Slots();
  Slots(const Slots&) = delete;
  Slots& operator=(const Slots&) = delete;

  // Starts to acquire slots; the inner port must be known.
  void Start();

  // Submits a call with a key to its slot. The handlers may run before this
  // returns. Returns the call's id, or 0 when the agent does not hold the slot.
  CallId SubmitCall(int aSlot, KeyedCall aCall, KeyedHandlers aHandlers);
  // The caller disconnected or its deadline passed.
  void Cancel(CallId aCall);
  // The backend server's result for a dispatched call.
  void OnBackendResult(CallId aCall, const HttpResult& aResult);

  // Serves a stream that another agent opened to this one as a witness.
  void OnWitnessStream(const std::shared_ptr<InnerStream>& aStream);

  // Sets whether slots may be held, which needs a backend server and a zone
  // that can serve. Releases all slots when they may not.
  void SetEligible(bool aEligible);
  // Releases all slots at a graceful shutdown.
  void StartLeaving();
  bool HasLeft() const { return mLeaving && mHeldSlots.empty(); }

  std::vector<OwnedSlot> OwnedSlots() const;
  nlohmann::json State() const;

  // Called when the set of owned slots has changed.
  sigc::slot<void()> mOnChanged;

private:
  using HeldSlotPtr = std::shared_ptr<HeldSlot>;

  struct PendingCall
  {
    HeldSlotPtr mHeldSlot;
    KeyedHandlers mHandlers;
    bool mAnswered = false;
    bool mRunning = false;
  };

  struct StoreSlotState
  {
    std::optional<SlotStatus> mStatus;
    std::int64_t mRevision = 0;
    std::string mLeaseValue;
    bool mUnreadable = false;
  };

  struct Peer
  {
    Endpoint mAddress;
    std::shared_ptr<InnerConnection> mConnection;
  };

  // Slot ownership (slots.cpp).
  void Poll();
  void OnPolled(const std::vector<StoreEntry>& aEntries);
  void AcquireFreeSlots(std::map<int, StoreSlotState>& aStored);
  void AcquireSlot(int aSlot, const StoreSlotState& aStored);
  void ReconcileHeldSlots(const std::map<int, StoreSlotState>& aStored);
  void ChooseWitnesses(HeldSlot& aHeldSlot, RecordActions& aActions);
  void PollHosts();
  void RenewLease();
  void GrantLease();
  void OnLeaseLost();
  void BindLease(const HeldSlotPtr& aHeldSlot);
  void Register();
  void ReleaseAll();
  void OnStoreCall(bool aReached);
  void SetStoreReachable(bool aReachable);
  int SlotCount() const;
  std::string StatusKey(int aSlot) const;
  std::string LeaseKey(int aSlot) const;
  std::string RecordKey(int aSlot,
                        std::int64_t aEpoch,
                        std::int64_t aSequence) const;
  std::string LeaseValue() const;

  // Execution of the record's actions (slots_store.cpp).
  void Perform(const HeldSlotPtr& aHeldSlot, const RecordActions& aActions);
  void Execute(const HeldSlotPtr& aHeldSlot, const WriteStatus& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const WriteBatch& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const ReadBatch& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const ReadRecord& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const DeleteBatch& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const SendClaims& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const FetchClaims& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const DiscardClaims& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const DispatchCall& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const AnswerCall& aAction);
  void Execute(const HeldSlotPtr& aHeldSlot, const SlotOwnershipLost& aAction);
  void OnStatusFound(const HeldSlotPtr& aHeldSlot,
                     const WriteStatus& aAction,
                     const std::optional<StoreEntry>& aEntry);
  void OnBatchConflict(const HeldSlotPtr& aHeldSlot, const WriteBatch& aAction);
  void ArmTick(const HeldSlotPtr& aHeldSlot);

  // Witnesses (slots_witness.cpp).
  void QueryWitness(const AgentName& aWitness,
                    nlohmann::json aHead,
                    const std::vector<Claim>& aClaims,
                    const WitnessCallback& aDone);
  void PingWitnesses();
  WitnessReply AnswerAsWitness(const nlohmann::json& aHead,
                               const std::vector<Claim>& aClaims);

  Node& mNode;
  std::string mService;
  StoreClient mStore;
  AgentName mSelf;
  bool mLeaving = false;
  bool mEligible = false;
  bool mStarted = false;

  std::map<int, HeldSlotPtr> mHeldSlots;
  std::unordered_map<CallId, PendingCall> mCalls;
  CallId mLastCallId = 0;

  // The agent's lease in the store, 0 while it has none, and when its last
  // successful grant or renewal was sent.
  std::int64_t mLeaseId = 0;
  TimeMs mLeaseSentMs = 0;
  bool mGrantInFlight = false;

  bool mStoreReachable = true;
  int mConsecutiveFailures = 0;
  bool mPollInFlight = false;
  TimeMs mPollSentMs = 0;
  TimeMs mAcquireAfterMs = 0;
  bool mRegistered = false;
  std::map<int, TimeMs> mFreeSinceMs;

  // Incarnation of each agent of the service that is registered in the store,
  // by host.
  std::map<std::string, std::int64_t> mRegisteredAgents;
  // Agent hosts on the platform's list; true for live ones, false for those
  // that are leaving.
  std::map<std::string, bool> mListedHosts;
  std::map<std::string, Peer> mPeers;
  std::map<int, Witness> mWitnessBySlot;

  Timer mPollTimer;
  Timer mHostsTimer;
  Timer mLeaseTimer;
  Timer mPingTimer;
};

} // namespace savory

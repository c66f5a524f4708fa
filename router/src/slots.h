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

// The slot of a service that a customer's key belongs to.
int
HashKeyToSlot(const Service& aService,
              const std::string& aCustomer,
              const std::string& aKey);

// What the record of a slot asks of the agent for one call with a key.
struct KeyedHandlers
{
  // Send the call to the backend server, once, and report its end with
  // Slots::OnBackendResult.
  sigc::slot<void()> mDispatch;
  sigc::slot<void(const AnswerCall&)> mAnswer;
};

// A slot at this agent, from the attempt to take it until it is left.
struct HeldSlot
{
  int mNumber = 0;
  Slot mSlot;
  // The store's revision of the slot's status as this agent knows it.
  std::int64_t mRevision = 0;
  // Whether the slot's lease key is bound to the agent's present lease.
  bool mLeaseBound = false;
  bool mWasServing = false;
  Timer mTickTimer;
};

// The answer of a witness: a document and, to a fetch, claims.
struct WitnessReply
{
  nlohmann::json mHead;
  std::vector<Claim> mClaims;
};

using WitnessCallback = sigc::slot<void(const std::optional<WitnessReply>&)>;

// The slots of a plain service that its agent owns, with their records, and
// the claims that it holds as a witness for other agents.
class Slots
{
public:
  Slots(Node& aNode, std::string aService);
  ~Slots();
  Slots(const Slots&) = delete;
  Slots& operator=(const Slots&) = delete;

  // Begins to take slots; the inner port must be known.
  void Start();

  // A call with a key of a slot arrives. The handlers may run before this
  // returns. Returns the call's id, or 0 when the agent does not own the slot.
  CallId SubmitCall(int aSlot, KeyedCall aCall, KeyedHandlers aHandlers);
  // The caller is gone or its deadline has passed.
  void Cancel(CallId aCall);
  // The backend server's answer to a dispatched call.
  void OnBackendResult(CallId aCall, const HttpResult& aResult);

  // Serves a stream of another agent to this one as a witness.
  void OnWitnessStream(const std::shared_ptr<InnerStream>& aStream);

  // Whether slots may be held: the backend server and the zone can serve.
  void SetEligible(bool aWanted);
  // Gives all slots up at a graceful shutdown.
  void StartLeaving();
  bool HasLeft() const { return mLeaving && mHeldSlots.empty(); }

  std::vector<OwnedSlot> OwnedSlots() const;
  nlohmann::json State() const;

  // Called when the set of owned slots changed.
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
    std::string mLeaseId;
    bool mUnreadable = false;
  };

  struct Peer
  {
    Endpoint mAddress;
    std::shared_ptr<InnerConnection> mConnection;
  };

  // Ownership (slots.cpp).
  void Poll();
  void OnPolled(const std::vector<StoreEntry>& aEntries);
  void AcquireFreeSlots(std::map<int, StoreSlotState>& aStored);
  void AcquireSlot(int aSlot, const StoreSlotState& aStored);
  void ReconcileHeldSlots(const std::map<int, StoreSlotState>& aStored);
  void ChooseWitnesses(HeldSlot& aHeld, RecordActions& aActions);
  void PollHosts();
  void RenewLease();
  void GrantLease();
  void OnLeaseLost();
  void BindLease(const HeldSlotPtr& aHeld);
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

  // The record's actions (slots_store.cpp).
  void Perform(const HeldSlotPtr& aHeld, const RecordActions& aActions);
  void Execute(const HeldSlotPtr& aHeld, const WriteStatus& aAction);
  void Execute(const HeldSlotPtr& aHeld, const WriteBatch& aAction);
  void Execute(const HeldSlotPtr& aHeld, const ReadBatch& aAction);
  void Execute(const HeldSlotPtr& aHeld, const ReadRecord& aAction);
  void Execute(const HeldSlotPtr& aHeld, const DeleteBatch& aAction);
  void Execute(const HeldSlotPtr& aHeld, const SendClaims& aAction);
  void Execute(const HeldSlotPtr& aHeld, const FetchClaims& aAction);
  void Execute(const HeldSlotPtr& aHeld, const DiscardClaims& aAction);
  void Execute(const HeldSlotPtr& aHeld, const DispatchCall& aAction);
  void Execute(const HeldSlotPtr& aHeld, const AnswerCall& aAction);
  void Execute(const HeldSlotPtr& aHeld, const SlotOwnershipLost& aAction);
  void OnStatusFound(const HeldSlotPtr& aHeld,
                     const WriteStatus& aAction,
                     const std::optional<StoreEntry>& aEntry);
  void OnBatchConflict(const HeldSlotPtr& aHeld, const WriteBatch& aAction);
  void ArmTick(const HeldSlotPtr& aHeld);

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

  // The agent's lease in the store; 0 while it has none.
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

  // Agents of the service that the store has registered: host, incarnation.
  std::map<std::string, std::int64_t> mRegisteredAgents;
  // Hosts of the platform's list that are not leaving.
  std::map<std::string, bool> mListedHosts;
  std::map<std::string, Peer> mPeers;
  std::map<int, Witness> mWitnessBySlot;

  Timer mPollTimer;
  Timer mHostsTimer;
  Timer mLeaseTimer;
  Timer mPingTimer;
};

} // namespace savory

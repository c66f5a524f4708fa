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
SlotOfKey(const Service& aService,
          const std::string& aCustomer,
          const std::string& aKey);

// What the record of a slot asks of the agent for one call with a key.
struct KeyedHandlers
{
  // Send the call to the backend server, once, and report its end with
  // Slots::BackendDone.
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
  bool mHasLease = false;
  bool mWasServing = false;
  Timer mTick;
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
  CallId Arrive(int aSlot, KeyedCall aCall, KeyedHandlers aHandlers);
  // The caller is gone or its deadline has passed.
  void Cancel(CallId aCall);
  // The backend server's answer to a dispatched call.
  void BackendDone(CallId aCall, const HttpResult& aResult);

  // Serves a stream of another agent to this one as a witness.
  void OnWitnessStream(const std::shared_ptr<InnerStream>& aStream);

  // Whether slots may be held: the backend server and the zone can serve.
  void SetWanted(bool aWanted);
  // Gives all slots up at a graceful shutdown.
  void Leave();
  bool HasLeft() const { return mLeaving && mHeld.empty(); }

  std::vector<OwnedSlot> Owned() const;
  nlohmann::json State() const;

  // Called when the set of owned slots changed.
  sigc::slot<void()> mOnChanged;

private:
  using Held = std::shared_ptr<HeldSlot>;

  struct PendingCall
  {
    Held mHeld;
    KeyedHandlers mHandlers;
    bool mAnswered = false;
    bool mRunning = false;
  };

  struct StoredSlot
  {
    std::optional<SlotStatus> mStatus;
    std::int64_t mRevision = 0;
    std::string mLease;
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
  void TakeFreeSlots(std::map<int, StoredSlot>& aStored);
  void Take(int aSlot, const StoredSlot& aStored);
  void KeepUp(const std::map<int, StoredSlot>& aStored);
  void ChooseWitnesses(HeldSlot& aHeld, RecordActions& aActions);
  void PollHosts();
  void RenewLease();
  void GrantLease();
  void LeaseLost();
  void BindLease(const Held& aHeld);
  void Register();
  void GiveUpAll();
  void StoreCalled(bool aReached);
  void SetStoreReachable(bool aReachable);
  int SlotCount() const;
  std::string StatusKey(int aSlot) const;
  std::string LeaseKey(int aSlot) const;
  std::string RecordKey(int aSlot,
                        std::int64_t aEpoch,
                        std::int64_t aSequence) const;
  std::string LeaseValue() const;

  // The record's actions (slots_store.cpp).
  void Apply(const Held& aHeld, const RecordActions& aActions);
  void Do(const Held& aHeld, const WriteStatus& aAction);
  void Do(const Held& aHeld, const WriteBatch& aAction);
  void Do(const Held& aHeld, const ReadBatch& aAction);
  void Do(const Held& aHeld, const ReadRecord& aAction);
  void Do(const Held& aHeld, const DeleteBatch& aAction);
  void Do(const Held& aHeld, const SendClaims& aAction);
  void Do(const Held& aHeld, const FetchClaims& aAction);
  void Do(const Held& aHeld, const DiscardClaims& aAction);
  void Do(const Held& aHeld, const DispatchCall& aAction);
  void Do(const Held& aHeld, const AnswerCall& aAction);
  void Do(const Held& aHeld, const SlotOwnershipLost& aAction);
  void StatusFound(const Held& aHeld,
                   const WriteStatus& aAction,
                   const std::optional<StoreEntry>& aEntry);
  void BatchRefused(const Held& aHeld, const WriteBatch& aAction);
  void ArmTick(const Held& aHeld);

  // Witnesses (slots_witness.cpp).
  void Ask(const AgentName& aWitness,
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
  bool mWanted = false;
  bool mStarted = false;

  std::map<int, Held> mHeld;
  std::unordered_map<CallId, PendingCall> mCalls;
  CallId mLastCall = 0;

  // The agent's lease in the store; 0 while it has none.
  std::int64_t mLease = 0;
  TimeMs mLeaseSentMs = 0;
  bool mGranting = false;

  bool mStoreReachable = true;
  int mFailures = 0;
  bool mPolling = false;
  TimeMs mPollSentMs = 0;
  TimeMs mMayTakeMs = 0;
  bool mRegistered = false;
  std::map<int, TimeMs> mFreeSinceMs;

  // Agents of the service that the store has registered: host, incarnation.
  std::map<std::string, std::int64_t> mAgents;
  // Hosts of the platform's list that are not leaving.
  std::map<std::string, bool> mLiveHosts;
  std::map<std::string, Peer> mPeers;
  std::map<int, Witness> mWitnessed;

  Timer mPollTimer;
  Timer mHostsTimer;
  Timer mLeaseTimer;
  Timer mPingTimer;
};

} // namespace savory

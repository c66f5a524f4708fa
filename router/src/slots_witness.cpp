#include "slots.h"

namespace savory {

namespace {

using nlohmann::json;

// A witness that does not answer within this time counts as lost.
constexpr TimeMs kWitnessTimeoutMs = 1000;

// A claim takes less than a kilobyte, so that a frame of this many claims stays
// below the frame size limit.
constexpr std::size_t kClaimsPerFrame = 500;

json
ToJson(const AgentName& aName)
{
  return { { "host", aName.mHost }, { "incarnation", aName.mIncarnation } };
}

AgentName
ReadAgentName(const json& aDocument)
{
  return { aDocument.at("host").get<std::string>(),
           aDocument.at("incarnation").get<std::int64_t>() };
}

// Sends one message: a head, the claims in Body frames, and an End frame.
void
SendMessage(InnerStream& aStream,
            const json& aHead,
            const std::vector<Claim>& aClaims)
{
  aStream.Send(FrameType::Head, EncodeDocument(aHead));
  for (std::size_t first = 0; first < aClaims.size();
       first += kClaimsPerFrame) {
    json claims = json::array();
    for (std::size_t i = first;
         i < std::min(aClaims.size(), first + kClaimsPerFrame);
         ++i) {
      claims.push_back(savory::ToJson(aClaims[i]));
    }
    aStream.Send(FrameType::Body, EncodeDocument({ { "claims", claims } }));
  }
  aStream.Send(FrameType::End, EncodeDocument(json::object()));
  aStream.Finish();
}

// The part of a message that has been received.
struct IncomingMessage
{
  json mHead;
  std::vector<Claim> mClaims;
  bool mMalformed = false;
};

// Adds one frame to a message. Returns true when the message is complete or
// malformed.
bool
AppendFrame(IncomingMessage& aMessage, const Frame& aFrame)
{
  auto document = DecodeDocument(aFrame.mPayload);
  if (!document || !document->is_object()) {
    aMessage.mMalformed = true;
    return true;
  }
  if (aFrame.mType == FrameType::Head) {
    aMessage.mHead = *document;
    return false;
  }
  if (aFrame.mType == FrameType::End) {
    return true;
  }
  for (const auto& row : document->value("claims", json::array())) {
    auto claim = ParseClaim(row);
    if (!claim) {
      aMessage.mMalformed = true;
      return true;
    }
    aMessage.mClaims.push_back(std::move(*claim));
  }
  return false;
}

// A query to a witness that is waiting for its answer.
struct WitnessQuery
{
  IncomingMessage mAnswer;
  WitnessCallback mDone;
  Timer mTimeout;
  bool mEnded = false;
};

void
FinishQuery(const std::shared_ptr<WitnessQuery>& aQuery, bool aAnswered)
{
  if (std::exchange(aQuery->mEnded, true)) {
    return;
  }
  aQuery->mTimeout.Cancel();
  auto done = std::exchange(aQuery->mDone, {});
  if (aAnswered && !aQuery->mAnswer.mMalformed) {
    done(WitnessReply{ std::move(aQuery->mAnswer.mHead),
                       std::move(aQuery->mAnswer.mClaims) });
  } else {
    done(std::nullopt);
  }
}

// Returns the refusal in a reply, or nothing when the witness agreed.
std::optional<WitnessRefusal>
FindRefusal(const WitnessReply& aReply)
{
  if (aReply.mHead.value("ok", false)) {
    return std::nullopt;
  }
  auto refusal = ParseName(kWitnessRefusalNames,
                           aReply.mHead.value("refusal", std::string()));
  return refusal.value_or(WitnessRefusal::Full);
}

} // namespace

// Sends a query to an agent, which may be this one, as a witness. aDone is
// called once, from the loop, with nothing when no reply arrived.
void
Slots::QueryWitness(const AgentName& aWitness,
                    json aHead,
                    const std::vector<Claim>& aClaims,
                    const WitnessCallback& aDone)
{
  aHead["service"] = mService;
  aHead["to"] = ToJson(aWitness);
  if (aWitness.mHost == mSelf.mHost) {
    Defer(mNode.mLoop, [this, aHead, aClaims, aDone] {
      aDone(AnswerAsWitness(aHead, aClaims));
    });
    return;
  }
  auto peer = mPeers.find(aWitness.mHost);
  std::shared_ptr<InnerStream> stream;
  if (peer != mPeers.end()) {
    auto& connection = peer->second.mConnection;
    if (!connection || !connection->IsOpen()) {
      connection = InnerConnection::Connect(mNode.mLoop, peer->second.mAddress);
    }
    stream = connection->Open("/witness");
  }
  if (!stream) {
    Defer(mNode.mLoop, [aDone] { aDone(std::nullopt); });
    return;
  }
  auto query = std::make_shared<WitnessQuery>();
  query->mDone = aDone;
  query->mTimeout =
    Timer::After(mNode.mLoop, kWitnessTimeoutMs, [this, query, aWitness] {
      // A new connection is needed when the host was replaced under the same
      // address.
      auto unresponsivePeer = mPeers.find(aWitness.mHost);
      if (unresponsivePeer != mPeers.end() &&
          unresponsivePeer->second.mConnection) {
        auto connection =
          std::exchange(unresponsivePeer->second.mConnection, nullptr);
        connection->Close();
      }
      FinishQuery(query, false);
    });
  stream->mOnFrame = [query](const Frame& aFrame) {
    if (!query->mEnded && AppendFrame(query->mAnswer, aFrame)) {
      FinishQuery(query, true);
    }
  };
  stream->mOnClosed = [query](bool) { FinishQuery(query, false); };
  SendMessage(*stream, aHead, aClaims);
}

void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const SendClaims& aAction)
{
  QueryWitness(
    aAction.mRecipient,
    { { "kind", "keep" },
      { "slot", aHeldSlot->mNumber },
      { "epoch", aAction.mEpoch },
      { "round", aAction.mRound } },
    aAction.mClaims,
    [this, aHeldSlot, witness = aAction.mWitnessIndex, round = aAction.mRound](
      const std::optional<WitnessReply>& aReply) {
      Slot& slot = aHeldSlot->mSlot;
      TimeMs now = MonotonicMs();
      auto refusal =
        aReply ? FindRefusal(*aReply) : std::optional(WitnessRefusal::Full);
      if (!refusal) {
        Perform(aHeldSlot, OnWitnessAck(slot, witness, round, now));
      } else if (*refusal == WitnessRefusal::OlderEpoch) {
        Perform(aHeldSlot, OnWitnessRefusal(slot, witness, now));
      } else {
        Perform(aHeldSlot, OnWitnessLost(slot, witness, now));
      }
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const FetchClaims& aAction)
{
  QueryWitness(
    aAction.mRecipient,
    { { "kind", "fetch" },
      { "slot", aHeldSlot->mNumber },
      { "epoch", aAction.mEpoch } },
    {},
    [this, aHeldSlot, witness = aAction.mWitnessIndex](
      const std::optional<WitnessReply>& aReply) {
      Slot& slot = aHeldSlot->mSlot;
      TimeMs now = MonotonicMs();
      if (aReply && !FindRefusal(*aReply)) {
        Perform(aHeldSlot,
                OnClaimsFetched(slot, witness, aReply->mClaims, now));
        return;
      }
      bool replaced =
        aReply && FindRefusal(*aReply) == WitnessRefusal::OtherIncarnation;
      Perform(aHeldSlot, OnClaimsFetchFailed(slot, witness, replaced, now));
    });
}

// The answer is ignored: a witness that misses the message keeps the claims,
// which is safe.
void
Slots::Execute(const HeldSlotPtr& aHeldSlot, const DiscardClaims& aAction)
{
  QueryWitness(aAction.mRecipient,
               { { "kind", "drop" },
                 { "slot", aHeldSlot->mNumber },
                 { "epoch", aAction.mEpoch },
                 { "round", aAction.mRound } },
               {},
               [](const std::optional<WitnessReply>& /*aReply*/) {});
}

// Pings lost witnesses to detect their return. While the store is reachable, so
// that a lost witness can be replaced, pings the other witnesses too.
void
Slots::PingWitnesses()
{
  for (const auto& [number, entry] : mHeldSlots) {
    const HeldSlotPtr& heldSlot = entry;
    const auto& witnesses = heldSlot->mSlot.mStatus.mWitnesses;
    for (std::size_t i = 0; i < witnesses.size() && i < 2; ++i) {
      bool due =
        mStoreReachable || heldSlot->mSlot.mWitnessStates.at(i).mUnreachable;
      if (!due || !IsServing(heldSlot->mSlot)) {
        continue;
      }
      AgentName name = witnesses[i];
      QueryWitness(
        name,
        { { "kind", "ping" }, { "slot", number } },
        {},
        [this, heldSlot, i, name](const std::optional<WitnessReply>& aReply) {
          const auto& present = heldSlot->mSlot.mStatus.mWitnesses;
          if (i >= present.size() || present[i] != name) {
            return;
          }
          int witness = static_cast<int>(i);
          TimeMs now = MonotonicMs();
          if (aReply && !FindRefusal(*aReply)) {
            Perform(heldSlot, OnWitnessReturned(heldSlot->mSlot, witness, now));
          } else if (mStoreReachable) {
            Perform(heldSlot, OnWitnessLost(heldSlot->mSlot, witness, now));
          }
        });
    }
  }
}

// Handles a query on the witness's side.
WitnessReply
Slots::AnswerAsWitness(const json& aHead, const std::vector<Claim>& aClaims)
{
  auto refuse = [](WitnessRefusal aRefusal) {
    return WitnessReply{ { { "ok", false },
                           { "refusal",
                             ToName(kWitnessRefusalNames, aRefusal) } },
                         {} };
  };
  WitnessReply agreed{ { { "ok", true } }, {} };
  try {
    AgentName to = ReadAgentName(aHead.at("to"));
    std::string kind = aHead.at("kind").get<std::string>();
    int number = aHead.at("slot").get<int>();
    std::int64_t epoch = aHead.value("epoch", std::int64_t(0));
    std::int64_t round = aHead.value("round", std::int64_t(0));
    if (aHead.at("service").get<std::string>() != mService || to != mSelf) {
      return refuse(WitnessRefusal::OtherIncarnation);
    }
    Witness& witness = mWitnessBySlot[number];
    witness.mSelf = mSelf;
    if (kind == "keep") {
      // A leaving agent would lose the claims.
      if (mLeaving) {
        return refuse(WitnessRefusal::Full);
      }
      auto stored = StoreClaims(witness, { 0, to, epoch, round, aClaims });
      return stored ? agreed : refuse(stored.error());
    }
    if (kind == "fetch") {
      auto claims = TransferClaims(witness, { 0, to, epoch });
      if (!claims) {
        return refuse(claims.error());
      }
      agreed.mClaims = std::move(*claims);
    } else if (kind == "drop") {
      DiscardWrittenClaims(witness, { to, epoch, round });
    } else if (mLeaving) {
      return refuse(WitnessRefusal::Full);
    }
    return agreed;
  } catch (const json::exception&) {
    return refuse(WitnessRefusal::Full);
  }
}

void
Slots::OnWitnessStream(const std::shared_ptr<InnerStream>& aStream)
{
  auto message = std::make_shared<IncomingMessage>();
  std::weak_ptr<InnerStream> weak = aStream;
  aStream->mOnFrame = [this, message, weak](const Frame& aFrame) {
    auto stream = weak.lock();
    if (!stream || !AppendFrame(*message, aFrame)) {
      return;
    }
    if (message->mMalformed) {
      stream->Cancel();
      return;
    }
    auto reply = AnswerAsWitness(message->mHead, message->mClaims);
    SendMessage(*stream, reply.mHead, reply.mClaims);
  };
}

} // namespace savory

#include "slots.h"

namespace savory {

namespace {

using nlohmann::json;

// A witness that does not answer within this time is taken as lost.
constexpr TimeMs kWitnessTimeoutMs = 1000;

// Claims in one frame; a claim takes less than a kilobyte, so that a frame
// stays below its limit.
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

// Sends one message: its head, its claims and an end.
void
SendMessage(InnerStream& aStream,
            const json& aHead,
            const std::vector<Claim>& aClaims)
{
  aStream.Send(FrameType::Head, EncodeDocument(aHead));
  for (std::size_t first = 0; first < aClaims.size();
       first += kClaimsPerFrame) {
    json part = json::array();
    for (std::size_t i = first;
         i < std::min(aClaims.size(), first + kClaimsPerFrame);
         ++i) {
      part.push_back(savory::ToJson(aClaims[i]));
    }
    aStream.Send(FrameType::Body, EncodeDocument({ { "claims", part } }));
  }
  aStream.Send(FrameType::End, EncodeDocument(json::object()));
  aStream.Finish();
}

// A message as far as it was received.
struct IncomingMessage
{
  json mHead;
  std::vector<Claim> mClaims;
  bool mMalformed = false;
};

// Takes one frame; true at the end of the message.
bool
AppendFrame(IncomingMessage& aIncoming, const Frame& aFrame)
{
  auto document = DecodeDocument(aFrame.mPayload);
  if (!document || !document->is_object()) {
    aIncoming.mMalformed = true;
    return true;
  }
  if (aFrame.mType == FrameType::Head) {
    aIncoming.mHead = *document;
    return false;
  }
  if (aFrame.mType == FrameType::End) {
    return true;
  }
  for (const auto& row : document->value("claims", json::array())) {
    auto claim = ParseClaim(row);
    if (!claim) {
      aIncoming.mMalformed = true;
      return true;
    }
    aIncoming.mClaims.push_back(std::move(*claim));
  }
  return false;
}

// A question to a witness that waits for its answer.
struct WitnessQuery
{
  IncomingMessage mAnswer;
  WitnessCallback mDone;
  Timer mTimeout;
  bool mEnded = false;
};

void
FinishQuery(const std::shared_ptr<WitnessQuery>& aQuestion, bool aAnswered)
{
  if (std::exchange(aQuestion->mEnded, true)) {
    return;
  }
  aQuestion->mTimeout.Cancel();
  auto done = std::exchange(aQuestion->mDone, {});
  if (aAnswered && !aQuestion->mAnswer.mMalformed) {
    done(WitnessReply{ std::move(aQuestion->mAnswer.mHead),
                       std::move(aQuestion->mAnswer.mClaims) });
  } else {
    done(std::nullopt);
  }
}

// The refusal that a reply carries, or nothing when it agrees.
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

// Asks another agent, or this one, as a witness. The callback runs once, from
// the loop.
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
      // A host that was replaced under its address needs a new connection.
      auto silent = mPeers.find(aWitness.mHost);
      if (silent != mPeers.end() && silent->second.mConnection) {
        auto old = std::exchange(silent->second.mConnection, nullptr);
        old->Close();
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
Slots::Execute(const HeldSlotPtr& aHeld, const SendClaims& aAction)
{
  QueryWitness(
    aAction.mRecipient,
    { { "kind", "keep" },
      { "slot", aHeld->mNumber },
      { "epoch", aAction.mEpoch },
      { "round", aAction.mRound } },
    aAction.mClaims,
    [this, aHeld, witness = aAction.mWitnessIndex, round = aAction.mRound](
      const std::optional<WitnessReply>& aReply) {
      Slot& slot = aHeld->mSlot;
      TimeMs now = MonotonicMs();
      auto refusal =
        aReply ? FindRefusal(*aReply) : std::optional(WitnessRefusal::Full);
      if (!refusal) {
        Perform(aHeld, OnWitnessAck(slot, witness, round, now));
      } else if (*refusal == WitnessRefusal::OlderEpoch) {
        Perform(aHeld, OnWitnessRefusal(slot, witness, now));
      } else {
        Perform(aHeld, OnWitnessLost(slot, witness, now));
      }
    });
}

void
Slots::Execute(const HeldSlotPtr& aHeld, const FetchClaims& aAction)
{
  QueryWitness(
    aAction.mRecipient,
    { { "kind", "fetch" },
      { "slot", aHeld->mNumber },
      { "epoch", aAction.mEpoch } },
    {},
    [this, aHeld, witness = aAction.mWitnessIndex](
      const std::optional<WitnessReply>& aReply) {
      Slot& slot = aHeld->mSlot;
      TimeMs now = MonotonicMs();
      if (aReply && !FindRefusal(*aReply)) {
        Perform(aHeld, OnClaimsFetched(slot, witness, aReply->mClaims, now));
        return;
      }
      bool replaced =
        aReply && FindRefusal(*aReply) == WitnessRefusal::OtherIncarnation;
      Perform(aHeld, OnClaimsFetchFailed(slot, witness, replaced, now));
    });
}

// Without an answer the witness keeps the claims, which is safe.
void
Slots::Execute(const HeldSlotPtr& aHeld, const DiscardClaims& aAction)
{
  QueryWitness(aAction.mRecipient,
               { { "kind", "drop" },
                 { "slot", aHeld->mNumber },
                 { "epoch", aAction.mEpoch },
                 { "round", aAction.mRound } },
               {},
               [](const std::optional<WitnessReply>& /*aReply*/) {});
}

// Finds out whether witnesses that were lost are back and, while the store can
// name others, whether any is lost.
void
Slots::PingWitnesses()
{
  for (const auto& [number, entry] : mHeldSlots) {
    const HeldSlotPtr& held = entry;
    const auto& witnesses = held->mSlot.mStatus.mWitnesses;
    for (std::size_t i = 0; i < witnesses.size() && i < 2; ++i) {
      bool due =
        mStoreReachable || held->mSlot.mWitnessStates.at(i).mUnreachable;
      if (!due || !IsServing(held->mSlot)) {
        continue;
      }
      AgentName name = witnesses[i];
      QueryWitness(
        name,
        { { "kind", "ping" }, { "slot", number } },
        {},
        [this, held, i, name](const std::optional<WitnessReply>& aReply) {
          const auto& present = held->mSlot.mStatus.mWitnesses;
          if (i >= present.size() || present[i] != name) {
            return;
          }
          int witness = static_cast<int>(i);
          TimeMs now = MonotonicMs();
          if (aReply && !FindRefusal(*aReply)) {
            Perform(held, OnWitnessReturned(held->mSlot, witness, now));
          } else if (mStoreReachable) {
            Perform(held, OnWitnessLost(held->mSlot, witness, now));
          }
        });
    }
  }
}

// The witness's side of every message.
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
      // An agent that leaves would lose the claims.
      if (mLeaving) {
        return refuse(WitnessRefusal::Full);
      }
      auto kept = StoreClaims(witness, { 0, to, epoch, round, aClaims });
      return kept ? agreed : refuse(kept.error());
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
  auto incoming = std::make_shared<IncomingMessage>();
  std::weak_ptr<InnerStream> weak = aStream;
  aStream->mOnFrame = [this, incoming, weak](const Frame& aFrame) {
    auto stream = weak.lock();
    if (!stream || !AppendFrame(*incoming, aFrame)) {
      return;
    }
    if (incoming->mMalformed) {
      stream->Cancel();
      return;
    }
    auto reply = AnswerAsWitness(incoming->mHead, incoming->mClaims);
    SendMessage(*stream, reply.mHead, reply.mClaims);
  };
}

} // namespace savory

#include "savory/core/peer_message.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace savory;

namespace {

PeerMessage
MakeMessage()
{
  PeerMessage message;
  message.mHost = "edge-1";
  message.mAddress = "10.0.0.1";
  message.mZone = "z1";
  message.mStoreRevision = { 0, 412 };
  message.mMayWatch = true;
  message.mContactAgeMs = 250;
  message.mReachableForMs = 30000;
  message.mLiveHosts = 103;
  message.mShifts["llm"] = { { 0, 7 }, 1200, { 1, 2, 3, 4, 5, 6 } };
  message.mPrefills["i-1"] = { 812.5, { 0xffffffffffffffffU, 2 } };
  message.mCrashes.mSuspects.push_back({ { "llm", SuspectKind::PromptPart, 9 },
                                         2,
                                         { { 11, 12, 340, 240, true } },
                                         -1,
                                         500,
                                         1 });
  message.mCrashes.mCrashes.push_back({ 11, 240 });
  message.mUsage = { 1780000000000, 17, { { 356000000, { { "x", 4 } } } } };
  message.mLiveAddresses = { "10.0.0.2" };
  return message;
}

ChangeMessage
MakeChanges()
{
  return { "10.0.0.1",
           0,
           410,
           412,
           true,
           { { "servers/i-1", std::string("\x00\xff{}", 4), 411 },
             { "op/evacuate/z1", std::nullopt, 412 } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_message)

// Guards against fields that are lost or exchanged on the way.
BOOST_AUTO_TEST_CASE(messages_are_read_as_written)
{
  std::string bytes = EncodePeerMessage(MakeMessage());
  BOOST_TEST((ParseDatagramKind(bytes) == PeerDatagramKind::Beacon));
  SetDatagramKind(bytes, PeerDatagramKind::RelayedBeacon);
  BOOST_TEST((ParseDatagramKind(bytes) == PeerDatagramKind::RelayedBeacon));
  auto read = DecodePeerMessage(bytes);
  BOOST_REQUIRE(read);
  BOOST_TEST(EncodePeerMessage(*read) == EncodePeerMessage(MakeMessage()));
  BOOST_TEST(read->mContactAgeMs.value_or(0) == 250);
  BOOST_REQUIRE(read->mUsage);
  BOOST_TEST(read->mUsage->mWallMs == 1780000000000);
  BOOST_TEST(read->mUsage->mIncarnation == 17U);
  BOOST_TEST(read->mUsage->mTotals.at(0).mTotals.at("x") == 4);
  const CrashSuspectRow& suspect = read->mCrashes.mSuspects.at(0);
  BOOST_TEST((suspect.mKey == SuspectKey{ "llm", SuspectKind::PromptPart, 9 }));
  BOOST_TEST(suspect.mEvidence.at(0).mSentAgeMs == 340);
  BOOST_TEST(suspect.mAnsweredAgeMs == -1);
  BOOST_TEST(read->mCrashes.mCrashes.at(0).mCrash == 11U);
  BOOST_TEST(read->mPrefills.at("i-1").mPartKeys.at(0) == 0xffffffffffffffffU);

  std::string changeBytes = EncodeChangeMessage(MakeChanges());
  BOOST_TEST((ParseDatagramKind(changeBytes) == PeerDatagramKind::Changes));
  auto changes = DecodeChangeMessage(changeBytes);
  BOOST_REQUIRE(changes);
  BOOST_TEST(EncodeChangeMessage(*changes) == changeBytes);
  BOOST_TEST(changes->mRows.at(0).mValue.value_or("").size() == 4U);
  BOOST_TEST(!changes->mRows.at(1).mValue);
}

// Guards against a datagram of another release that is taken for one of this:
// an earlier one began with a CBOR map of eleven fields.
BOOST_AUTO_TEST_CASE(other_versions_are_told_apart)
{
  BOOST_TEST(!ParseDatagramKind(std::string_view("\xab\x61")));
  BOOST_TEST(!ParseDatagramKind(""));
  BOOST_TEST(!ParseDatagramKind(std::string_view("\x02\x00", 2)));
  BOOST_TEST(!ParseDatagramKind(std::string_view("\x02\x04", 2)));
}

// Guards against a delta that a release without deltas takes for the value.
BOOST_AUTO_TEST_CASE(deltas_have_a_version_of_their_own)
{
  ChangeMessage message = MakeChanges();
  BOOST_TEST(EncodeChangeMessage(message)[0] == '\2');
  message.mRows[0].mBaseRevision = 400;
  std::string bytes = EncodeChangeMessage(message);
  BOOST_TEST(bytes[0] == '\4');
  BOOST_TEST((ParseDatagramKind(bytes) == PeerDatagramKind::Changes));
  auto read = DecodeChangeMessage(bytes);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->mRows.at(0).mBaseRevision == 400);
  BOOST_TEST(read->mRows.at(1).mBaseRevision == 0);
}

// Guards against changes that the receiver would cut off.
BOOST_AUTO_TEST_CASE(changes_that_do_not_fit_are_not_sent)
{
  ChangeMessage message = MakeChanges();
  message.mRows[0].mValue = std::string(kMaxPeerDatagramBytes - 500, 'x');
  BOOST_TEST(EncodeChangeMessage(message).size() <= kMaxPeerDatagramBytes);
  BOOST_TEST(!EncodeChangeMessage(message).empty());
  message.mRows[0].mValue = std::string(kMaxPeerDatagramBytes, 'x');
  BOOST_TEST(EncodeChangeMessage(message).empty());
}

// Guards against an estimate of a prefill row below its size, by which a beacon
// would outgrow its bound.
BOOST_AUTO_TEST_CASE(prefill_bytes_are_an_upper_bound)
{
  PeerMessage message = MakeMessage();
  std::size_t before = EncodePeerMessage(message).size();
  std::size_t estimate = 0;
  for (int i = 0; i < 30; ++i) {
    std::string runner = "i-" + std::to_string(100000 + i);
    PeerMessage::PrefillReport report{ 1e9 + i, {} };
    report.mPartKeys.assign(static_cast<std::size_t>(i), 0xffffffffffffffffU);
    estimate += EncodedPrefillBytes(runner, report);
    message.mPrefills[runner] = report;
  }
  BOOST_TEST(EncodePeerMessage(message).size() - before <= estimate);
}

// Guards against a length out of range that ends the process: the library
// throws although it is asked not to.
BOOST_AUTO_TEST_CASE(excessive_lengths_are_survived)
{
  for (unsigned char head : { 0x9b, 0xbb, 0x5b, 0x7b }) {
    for (bool isNested : { false, true }) {
      std::string bytes{ 2, static_cast<char>(PeerDatagramKind::Beacon) };
      if (isNested) {
        bytes += "\xa1\x61"
                 "h";
      }
      bytes += static_cast<char>(head);
      bytes += std::string(8, '\x7f');
      BOOST_TEST(!DecodePeerMessage(bytes));
      bytes[1] = static_cast<char>(PeerDatagramKind::Changes);
      BOOST_TEST(!DecodeChangeMessage(bytes));
    }
  }
}

// Guards against malformed datagrams that end the process: bytes of real
// messages, changed, cut and extended.
RC_BOOST_PROP(mutated_datagrams_are_survived, ())
{
  bool isChange = *rc::gen::arbitrary<bool>();
  std::string bytes = isChange ? EncodeChangeMessage(MakeChanges())
                               : EncodePeerMessage(MakeMessage());
  auto edits = *rc::gen::container<std::vector<std::pair<unsigned, char>>>(
    rc::gen::arbitrary<std::pair<unsigned, char>>());
  for (const auto& [position, value] : edits) {
    bytes[position % bytes.size()] = value;
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 3));
  (void)ParseDatagramKind(bytes);
  (void)DecodePeerMessage(bytes);
  (void)DecodeChangeMessage(bytes);
}

// Guards against datagrams of a store without epochs that differ from those of
// earlier releases, which hosts of one fleet may still run, and against changes
// with an epoch that such a release applies to a copy of another one.
BOOST_AUTO_TEST_CASE(epochs_are_stated_only_where_the_store_has_them)
{
  PeerMessage beacon = MakeMessage();
  ChangeMessage changes = MakeChanges();
  std::string oldBeacon = EncodePeerMessage(beacon);
  std::string oldChanges = EncodeChangeMessage(changes);
  BOOST_TEST(oldBeacon[0] == 2);
  BOOST_TEST(oldChanges[0] == 2);
  beacon.mStoreRevision.mEpoch = 3;
  beacon.mShifts["llm"].mOrderRevision.mEpoch = 2;
  changes.mEpoch = 3;
  std::string newBeacon = EncodePeerMessage(beacon);
  std::string newChanges = EncodeChangeMessage(changes);
  BOOST_TEST(newBeacon[0] == 2);
  BOOST_TEST(newChanges[0] == 3);
  BOOST_TEST((ParseDatagramKind(newChanges) == PeerDatagramKind::Changes));
  // A number below 24 takes a byte; a key as short takes two.
  BOOST_TEST(newBeacon.size() == oldBeacon.size() + 4);
  BOOST_TEST(newChanges.size() == oldChanges.size() + 3);
  auto read = DecodePeerMessage(newBeacon);
  BOOST_REQUIRE(read);
  BOOST_TEST((read->mStoreRevision == StoreRevision{ 3, 412 }));
  BOOST_TEST((read->mShifts["llm"].mOrderRevision == StoreRevision{ 2, 7 }));
  BOOST_TEST(DecodeChangeMessage(newChanges)->mEpoch == 3);
  BOOST_TEST(DecodeChangeMessage(oldChanges)->mEpoch == 0);
}

// Guards against an epoch that hides all others for good.
BOOST_AUTO_TEST_CASE(implausible_epochs_are_malformed)
{
  for (std::int64_t epoch : { std::int64_t(1) << 23, std::int64_t(1) << 62 }) {
    PeerMessage beacon = MakeMessage();
    beacon.mStoreRevision.mEpoch = epoch;
    BOOST_TEST(!DecodePeerMessage(EncodePeerMessage(beacon)));
    ChangeMessage changes = MakeChanges();
    changes.mEpoch = epoch;
    BOOST_TEST(!DecodeChangeMessage(EncodeChangeMessage(changes)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

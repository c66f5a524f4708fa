#include "fixture.h"
#include "savory/net/inner.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace savory;

namespace {

struct InnerFixture : LoopFixture
{
  // A stream of the listener or of the connection, with what it received.
  struct Peer
  {
    std::shared_ptr<InnerStream> mStream;
    std::vector<std::string> mFrames;
    std::size_t mBytes = 0;
    int mClosed = 0;
    bool mClean = false;
  };

  std::vector<std::shared_ptr<Peer>> mPeers;
  bool mDisableAutomaticCredit = false;
  bool mEcho = false;
  std::unique_ptr<InnerListener> mListener = std::make_unique<InnerListener>(
    mLoop,
    [this](const std::shared_ptr<InnerStream>& aStream) { OnStream(aStream); });
  int mPort = mListener->Listen("127.0.0.1", 0);
  std::shared_ptr<InnerConnection> mConnection =
    InnerConnection::Connect(mLoop, { "127.0.0.1", mPort });

  void OnStream(const std::shared_ptr<InnerStream>& aStream)
  {
    auto peer = std::make_shared<Peer>();
    peer->mStream = aStream;
    SetCallbacks(peer);
    if (mDisableAutomaticCredit) {
      aStream->DisableAutomaticCredit();
    }
    mPeers.push_back(peer);
  }

  void SetCallbacks(const std::shared_ptr<Peer>& aPeer)
  {
    aPeer->mStream->mOnFrame = [this, aPeer](const Frame& aFrame) {
      aPeer->mFrames.push_back(aFrame.mPayload);
      aPeer->mBytes += aFrame.mPayload.size();
      if (mEcho && aFrame.mType == FrameType::End) {
        aPeer->mStream->Send(FrameType::Head, aPeer->mFrames[0]);
        aPeer->mStream->Send(FrameType::End, "bye");
        aPeer->mStream->Finish();
      }
    };
    aPeer->mStream->mOnClosed = [aPeer](bool aClean) {
      ++aPeer->mClosed;
      aPeer->mClean = aClean;
    };
  }

  std::shared_ptr<Peer> Open(const std::string& aPath)
  {
    auto peer = std::make_shared<Peer>();
    peer->mStream = mConnection->Open(aPath);
    BOOST_REQUIRE(peer->mStream);
    SetCallbacks(peer);
    return peer;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(inner, InnerFixture)

// Guards against frames that are lost, merged or reordered when they exceed
// the flow-control window or a write, and against an end of stream that is not
// reported to both sides.
BOOST_AUTO_TEST_CASE(frames_arrive_in_order)
{
  mEcho = true;
  auto client = Open("/run");
  std::vector<std::string> sent;
  std::size_t sizes[] = { 0, 1, 16383, 16384, 65535, 65537, 300000, 3 };
  for (std::size_t size : sizes) {
    sent.push_back(std::string(size, static_cast<char>('a' + sent.size())));
    client->mStream->Send(FrameType::Body, sent.back());
  }
  client->mStream->Send(FrameType::End, "end");
  client->mStream->Finish();
  sent.push_back("end");
  BOOST_REQUIRE(RunUntil([&] { return client->mClosed > 0; }));
  BOOST_REQUIRE(mPeers.size() == 1u);
  BOOST_TEST((mPeers[0]->mFrames == sent));
  BOOST_TEST(mPeers[0]->mStream->Path() == "/run");
  BOOST_TEST((client->mFrames == std::vector<std::string>{ "", "bye" }));
  BOOST_TEST(client->mClean);
  BOOST_TEST(RunUntil([&] { return mPeers[0]->mClosed == 1; }));
  BOOST_TEST(mPeers[0]->mClean);
}

// Guards against a body longer than the frame size that resets the stream.
BOOST_AUTO_TEST_CASE(long_body_is_split)
{
  auto client = Open("/run");
  std::string body(kMaxFrameBytes * 2 + 5, 'x');
  client->mStream->Send(FrameType::Body, body);
  BOOST_TEST(RunUntil(
    [&] { return !mPeers.empty() && mPeers[0]->mBytes == body.size(); }));
  BOOST_TEST(mPeers[0]->mFrames.size() == 3u);
}

// Guards against a sender that a slow reader does not stop, against a sender
// that never resumes, and against a slow stream that blocks the others.
BOOST_AUTO_TEST_CASE(withheld_credit_stops_the_sender)
{
  mDisableAutomaticCredit = true;
  auto slow = Open("/slow");
  std::size_t sendCallbacks = 0;
  slow->mStream->mOnBytesSent = [&] { ++sendCallbacks; };
  constexpr std::size_t kFrames = 1000;
  for (std::size_t index = 0; index < kFrames; ++index) {
    slow->mStream->Send(FrameType::Body, std::string(1000, 's'));
  }
  BOOST_REQUIRE(RunUntil([&] { return !mPeers.empty(); }));
  RunFor(200);
  BOOST_TEST(mPeers[0]->mBytes <= 65536u);
  BOOST_TEST(mPeers[0]->mBytes > 60000u);
  BOOST_TEST(slow->mStream->UnsentBytes() > 900000u);
  BOOST_TEST(sendCallbacks > 0u);

  mDisableAutomaticCredit = false;
  auto other = Open("/other");
  other->mStream->Send(FrameType::Body, std::string(500000, 'o'));
  BOOST_TEST(RunUntil(
    [&] { return mPeers.size() == 2 && mPeers[1]->mBytes == 500000; }));
  BOOST_TEST(mPeers[0]->mBytes <= 65536u);

  // Each frame has a header of five bytes.
  std::size_t consumed = 0;
  Timer pace = Timer::Every(mLoop, 1, [&] {
    std::size_t received = mPeers[0]->mFrames.size() * 1005;
    mPeers[0]->mStream->Consume(received - consumed);
    consumed = received;
  });
  BOOST_TEST(RunUntil([&] { return mPeers[0]->mFrames.size() == kFrames; }));
  BOOST_TEST(slow->mStream->UnsentBytes() == 0u);
}

// Guards against a crash or further frames after a malformed frame.
BOOST_AUTO_TEST_CASE(malformed_frame_ends_the_stream)
{
  auto good = Open("/good");
  auto bad = Open("/bad");
  bad->mStream->Send(static_cast<FrameType>(9), "x");
  bad->mStream->Send(FrameType::Body, "after");
  BOOST_TEST(RunUntil([&] { return bad->mClosed == 1; }));
  BOOST_TEST(!bad->mClean);
  good->mStream->Send(FrameType::Body, "still");
  BOOST_TEST(RunUntil([&] { return mPeers.size() == 2; }));
  BOOST_TEST(RunUntil([&] { return mPeers[0]->mFrames.size() == 1; }));
  BOOST_TEST(mPeers[1]->mFrames.empty());
  BOOST_TEST(mPeers[1]->mClosed == 1);
  BOOST_TEST(!mPeers[1]->mClean);
  BOOST_TEST(mConnection->IsOpen());
}

// Guards against a cancelled stream that counts as complete on the other side,
// and against a callback on the side that cancelled.
BOOST_AUTO_TEST_CASE(cancel_ends_both_sides)
{
  for (bool byServer : { false, true }) {
    mPeers.clear();
    auto client = Open("/run");
    client->mStream->Send(FrameType::Body, "x");
    BOOST_REQUIRE(
      RunUntil([&] { return !mPeers.empty() && !mPeers[0]->mFrames.empty(); }));
    auto server = mPeers[0];
    auto& active = byServer ? server : client;
    auto& passive = byServer ? client : server;
    active->mStream->Cancel();
    active->mStream->Send(FrameType::Body, "late");
    active->mStream->Finish();
    BOOST_TEST(RunUntil([&] { return passive->mClosed == 1; }));
    BOOST_TEST(!passive->mClean);
    BOOST_TEST(active->mClosed == 0);
    BOOST_TEST(!passive->mStream->IsOpen());
    BOOST_TEST(mConnection->StreamCount() == 0u);
  }
}

// Guards against streams that outlive their connection, on either side.
BOOST_AUTO_TEST_CASE(lost_connection_closes_all_streams)
{
  std::vector<std::shared_ptr<Peer>> clients;
  for (int index = 0; index < 10; ++index) {
    clients.push_back(Open("/run"));
    clients.back()->mStream->Send(FrameType::Body, "x");
  }
  BOOST_REQUIRE(RunUntil([&] { return mPeers.size() == 10; }));
  int closed = 0;
  mConnection->mOnClosed = [&] { ++closed; };
  mListener.reset();
  BOOST_TEST(RunUntil([&] { return closed == 1; }));
  for (const auto& peers : { clients, mPeers }) {
    for (const auto& peer : peers) {
      BOOST_TEST(peer->mClosed == 1);
      BOOST_TEST(!peer->mClean);
      BOOST_TEST(!peer->mStream->IsOpen());
    }
  }
  BOOST_TEST(!mConnection->Open("/run"));
}

// Guards against streams that wait forever for an unreachable peer.
BOOST_AUTO_TEST_CASE(refused_connection_closes_its_streams)
{
  mListener.reset();
  mConnection = InnerConnection::Connect(mLoop, { "127.0.0.1", mPort });
  auto client = Open("/run");
  client->mStream->Send(FrameType::Body, "x");
  BOOST_TEST(RunUntil([&] { return client->mClosed == 1; }));
  BOOST_TEST(!client->mClean);
  BOOST_TEST(!mConnection->IsOpen());
}

// Guards against a crash when a peer does not speak HTTP/2.
BOOST_AUTO_TEST_CASE(peer_without_http2_is_disconnected)
{
  int peer = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(mPort));
  BOOST_REQUIRE(
    connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  std::string text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_REQUIRE(write(peer, text.data(), text.size()) > 0);
  char bytes[4096];
  BOOST_TEST(RunUntil([&] {
    ssize_t size = 1;
    while (size > 0) {
      size = recv(peer, bytes, sizeof bytes, MSG_DONTWAIT);
    }
    return size == 0 || errno == ECONNRESET;
  }));
  close(peer);
  BOOST_TEST(mPeers.empty());
}

// Guards against limits on the number of streams and costs that grow with it.
BOOST_AUTO_TEST_CASE(ten_thousand_streams_are_answered)
{
  constexpr std::size_t kStreams = 10000;
  mEcho = true;
  std::vector<std::shared_ptr<Peer>> clients;
  for (std::size_t index = 0; index < kStreams; ++index) {
    clients.push_back(Open("/run"));
    clients.back()->mStream->Send(FrameType::Head, std::to_string(index));
  }
  BOOST_REQUIRE(RunUntil([&] { return mPeers.size() == kStreams; }, 20000));
  BOOST_TEST(mConnection->StreamCount() == kStreams);
  for (auto& client : clients) {
    client->mStream->Send(FrameType::End, "");
    client->mStream->Finish();
  }
  BOOST_REQUIRE(
    RunUntil([&] { return mConnection->StreamCount() == 0; }, 20000));
  std::size_t complete = 0;
  for (std::size_t index = 0; index < kStreams; ++index) {
    complete += clients[index]->mClean && clients[index]->mFrames.size() == 2 &&
                clients[index]->mFrames[0] == std::to_string(index);
  }
  BOOST_TEST(complete == kStreams);
}

BOOST_AUTO_TEST_SUITE_END()

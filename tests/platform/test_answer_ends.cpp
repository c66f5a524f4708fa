#include "byte_server.h"
#include "fixture.h"
#include "savory/net/http_link.h"

using namespace savory;

namespace {

// Uploads of which some bytes are still in this process when the server ends,
// as they are more than the sockets hold, and of which none are.
const std::string kLongUpload(16 * 1024 * 1024, 'u');
const std::string kShortUpload(100 * 1024, 'u');

enum class Ending
{
  // Resets the connection at once, so that bytes and reset arrive together.
  ResetAtOnce,
  // Resets it after the client has read the bytes.
  ResetLater,
  // Ends it regularly with upload bytes unread, which causes a reset.
  EndWithBytesUnread,
};

struct AnswerRow
{
  const char* mName;
  const char* mBytes;
};

// Parts of answers to a long upload, none of which is complete.
constexpr std::array<AnswerRow, 4> kParts{ {
  { "no length", "HTTP/1.1 200 OK\r\n\r\npart" },
  { "HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart" },
  { "length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart" },
  { "chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" },
} };

constexpr std::array kEndings{ Ending::ResetAtOnce,
                               Ending::ResetLater,
                               Ending::EndWithBytesUnread };

// Status lines that are not valid: a status has three digits, 100 to 599.
constexpr std::array kBadStatusLines{
  "HTTP/1.1 000 X", "HTTP/1.1 099 X",  "HTTP/1.1 1000 X", "HTTP/1.1 +200 X",
  "HTTP/1.1  20 X", "HTTP/1.1 2 00 X", "HTTP/1.1 600 X",  "HTTP/1.1 20 X",
  "HTTP/1.1 -20 X", "HTTP/1.1 20x X",
};

std::string
AnswerWith(const char* aStatusLine)
{
  return std::string(aStatusLine) + "\r\nContent-Length: 2\r\n\r\nok";
}

struct EndsFixture : LoopFixture
{
  // Writes the part of an answer and ends the connection. aIsUploadRead says
  // whether the server reads some of the upload first.
  void AnswerEarly(ByteServer& aServer,
                   const char* aBytes,
                   Ending aEnding,
                   bool aIsUploadRead)
  {
    BOOST_REQUIRE(RunUntil([&] { return aServer.Accept(); }));
    RunFor(10);
    if (aIsUploadRead) {
      std::string bytes(16 * 1024, '\0');
      BOOST_REQUIRE(recv(aServer.mSocket, bytes.data(), bytes.size(), 0) > 0);
    }
    aServer.Write(aBytes);
    if (aEnding != Ending::ResetAtOnce) {
      RunFor(10);
    }
    if (aEnding == Ending::EndWithBytesUnread) {
      aServer.EndAndReset();
    } else {
      aServer.Reset();
    }
  }

  // Whether a request over a ClientLink got a complete answer.
  template<class Answer>
  bool LinkCompletes(std::string_view aUpload, Answer aAnswer)
  {
    ByteServer server;
    auto link = ClientLink::Connect(mLoop, server.mAddress, {});
    std::optional<bool> completes;
    link->mOnEnd = [&](bool) { completes = true; };
    link->mOnFailed = [&](LinkFailure) { completes = false; };
    HttpHead head;
    head.mMethod = "POST";
    head.mTarget = "/";
    link->Send(head, aUpload);
    aAnswer(server);
    BOOST_REQUIRE(RunUntil([&] { return completes.has_value(); }));
    return *completes;
  }

  // The same over a call of HttpClient.
  template<class Answer>
  bool CallCompletes(std::string_view aUpload, Answer aAnswer)
  {
    ByteServer server;
    HttpCall call;
    call.mServer = server.mAddress;
    call.mMethod = "POST";
    call.mTarget = "/";
    call.mBody = aUpload;
    std::optional<bool> completes;
    auto exchange = mHttp.Fetch(call, [&](const HttpResult& aResult) {
      completes = aResult.has_value();
    });
    aAnswer(server);
    BOOST_REQUIRE(RunUntil([&] { return completes.has_value(); }));
    return *completes;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_ends, EndsFixture)

// Guards against a part of an answer that counts as complete because the reset
// of the connection showed as a failed write of the upload, or after its last
// bytes were read.
BOOST_AUTO_TEST_CASE(early_answer_cut_off_by_a_reset_is_incomplete)
{
  for (const AnswerRow& row : kParts) {
    for (Ending ending : kEndings) {
      for (bool isUploadRead : { false, true }) {
        BOOST_TEST_CONTEXT(row.mName << ", ending " << static_cast<int>(ending)
                                     << ", read " << isUploadRead)
        {
          auto answer = [&](ByteServer& aServer) {
            AnswerEarly(aServer, row.mBytes, ending, isUploadRead);
          };
          BOOST_TEST(!LinkCompletes(kLongUpload, answer));
          BOOST_TEST(!LinkCompletes(kShortUpload, answer));
          BOOST_TEST(!CallCompletes(kLongUpload, answer));
          BOOST_TEST(!CallCompletes(kShortUpload, answer));
        }
      }
    }
  }
}

// Guards against a reset after a whole upload, and against a regular end that
// counts as one.
BOOST_AUTO_TEST_CASE(answer_without_a_length_needs_a_regular_end)
{
  for (bool isReset : { false, true }) {
    for (bool isLater : { false, true }) {
      auto answer = [&](ByteServer& aServer) {
        BOOST_REQUIRE(RunUntil([&] { return aServer.Accept(); }));
        RunFor(10);
        aServer.Write("HTTP/1.1 200 OK\r\n\r\npart");
        if (isLater) {
          RunFor(10);
        }
        isReset ? aServer.Reset() : aServer.End();
      };
      BOOST_TEST_CONTEXT("reset " << isReset << ", later " << isLater)
      {
        BOOST_TEST(LinkCompletes("small", answer) == !isReset);
        BOOST_TEST(CallCompletes("small", answer) == !isReset);
      }
    }
  }
}

// Guards against a malformed status that is taken for an interim answer, or for
// another status, and is relayed.
BOOST_AUTO_TEST_CASE(malformed_status_is_no_answer)
{
  auto completes = [this](const char* aLine, bool aIsLink) {
    auto answer = [&](ByteServer& aServer) {
      BOOST_REQUIRE(RunUntil([&] { return aServer.Accept(); }));
      RunFor(10);
      aServer.Write(AnswerWith(aLine) + AnswerWith("HTTP/1.1 200 OK"));
      RunFor(10);
      aServer.End();
    };
    return aIsLink ? LinkCompletes("small", answer)
                   : CallCompletes("small", answer);
  };
  for (const char* line : kBadStatusLines) {
    BOOST_TEST(!completes(line, true), "link: " << line);
    BOOST_TEST(!completes(line, false), "call: " << line);
  }
  for (const char* line : { "HTTP/1.1 200 OK", "HTTP/1.1 599 X" }) {
    BOOST_TEST(completes(line, true), "link: " << line);
    BOOST_TEST(completes(line, false), "call: " << line);
  }
}

// The length of the body comes after the cut, or is missing.
BOOST_AUTO_TEST_CASE(answer_cut_within_its_head_is_incomplete)
{
  const std::string heads[] = {
    "HTTP/1.1 200 OK\r\nRunner-Signature: s\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRunner-Signature: s\r\n\r\n",
    "HTTP/1.0 200 OK\r\nContent-Length: 0\r\nRunner-Signature: s\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 0\nRunner-Signature: s\n\n",
  };
  for (const std::string& head : heads) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      for (bool isReset : { false, true }) {
        auto answer = [&](ByteServer& aServer) {
          BOOST_REQUIRE(RunUntil([&] { return aServer.Accept(); }));
          RunFor(1);
          aServer.Write(head.substr(0, size));
          RunFor(1);
          isReset ? aServer.Reset() : aServer.End();
        };
        BOOST_TEST_CONTEXT(head.substr(0, size) << ", reset " << isReset)
        {
          BOOST_TEST(!LinkCompletes("x", answer));
          BOOST_TEST(!CallCompletes("x", answer));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

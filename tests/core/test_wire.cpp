#include "savory/core/wire.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;

BOOST_AUTO_TEST_SUITE(wire)

// Guards against frames that are lost, merged or reordered when the transport
// splits the byte stream at arbitrary positions.
BOOST_AUTO_TEST_CASE(frames_are_independent_of_transport_splits)
{
  bool passed = rc::check([](const std::vector<std::string>& aPayloads) {
    std::string bytes;
    for (const auto& payload : aPayloads) {
      bytes += EncodeFrame(FrameType::Body, payload);
    }
    FrameReader reader;
    std::vector<std::string> received;
    while (!bytes.empty()) {
      auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      auto frames = ReadFrames(reader, bytes.substr(0, size));
      RC_ASSERT(frames.has_value());
      for (auto& frame : *frames) {
        received.push_back(frame.mPayload);
      }
      bytes.erase(0, size);
    }
    RC_ASSERT(received == aPayloads);
  });
  BOOST_TEST(passed);
}

// Guards against a crash or an exception on bytes that are not a valid message.
BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_an_error)
{
  bool passed = rc::check([](const std::string& aBytes) {
    FrameReader reader;
    (void)ReadFrames(reader, aBytes);
    RC_ASSERT(!DecodeRunRequest(aBytes).has_value());
    RC_ASSERT(!DecodeCallRequest(aBytes).has_value());
    RC_ASSERT(!DecodeAnswerHead(aBytes).has_value());
    RC_ASSERT(!DecodeAgentReport(aBytes).has_value());
  });
  BOOST_TEST(passed);
}

// Guards against an exception on a map that announces 2^62 entries. The CBOR
// library throws on it even in its mode without exceptions.
BOOST_AUTO_TEST_CASE(excessive_object_size_is_an_error)
{
  BOOST_TEST(!DecodeDocument("\xBB"
                             "aaaaaaaa")
                .has_value());
}

// Guards against a stack overflow, which ended the process: the library decodes
// nested arrays, maps and strings without a stated length recursively.
BOOST_AUTO_TEST_CASE(deeply_nested_messages_are_refused)
{
  constexpr std::size_t kDepth = 300000;
  for (std::string_view head :
       { "\x81", "\xa1\x61k", "\x9f", "\xbf\x61k", "\x5f", "\x7f", "\xc1" }) {
    std::string bytes;
    for (std::size_t i = 0; i < kDepth; ++i) {
      bytes += head;
    }
    BOOST_TEST(!DecodeDocument(bytes).has_value());
    BOOST_TEST(!DecodeDocument("\xa1\x61k" + bytes).has_value());
  }
}

// Guards against a document of the router that is refused: every type of item,
// and lengths of one to five bytes.
BOOST_AUTO_TEST_CASE(documents_survive_a_round_trip)
{
  nlohmann::json document;
  for (std::size_t size : { 0, 1, 23, 24, 255, 256, 70000 }) {
    std::string name = std::to_string(size);
    document["text"][name] = std::string(size, 'x');
    document["bytes"][name] =
      nlohmann::json::binary(std::vector<std::uint8_t>(size, 7));
    document["list"][name] = std::vector<int>(size, -5);
  }
  for (std::int64_t number : { 0LL, 23LL, 24LL, 70000LL, 1LL << 40 }) {
    document["numbers"].push_back(number);
    document["numbers"].push_back(-number);
  }
  document["others"] = { 1.5, 1e300, true, false, nullptr };
  auto decoded = DecodeDocument(EncodeDocument(document));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == document));
}

// Guards against a truncated message that is decoded as a valid one.
BOOST_AUTO_TEST_CASE(truncated_messages_are_refused)
{
  RunRequest request;
  request.mRequestId = "r1";
  std::string bytes = Encode(request);
  BOOST_TEST(DecodeRunRequest(bytes).has_value());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!DecodeRunRequest(bytes.substr(0, size)).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

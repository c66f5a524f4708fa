#include "savory/net/inner.h"

#include "savory/net/socket_address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <vector>

namespace savory {

namespace {

// The flow-control window of a stream bounds the bytes that an entry buffers
// for a slow caller. The window of the connection is large, so that one slow
// stream does not block the others.
constexpr std::int32_t kStreamWindowBytes = 32 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 64 * 1024 * 1024;
constexpr std::uint32_t kMaxStreams = 100000;

// Reserved for the headers of the frames of one payload.
constexpr std::size_t kFrameOverheadBytes = 64;

// No further frames are written while the socket's buffer holds this many
// bytes.
constexpr std::size_t kMaxSocketBufferBytes = 256 * 1024;

nghttp2_nv
MakeHeaderField(const char* aName, const std::string& aValue)
{
  return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName)),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data())),
           std::strlen(aName),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

// The C callbacks of nghttp2.
struct InnerCallbacks
{
  static InnerConnection* Self(void* aUserData)
  {
    return static_cast<InnerConnection*>(aUserData);
  }

  static std::shared_ptr<InnerStream> FindStream(void* aUserData, int aId)
  {
    auto& streams = Self(aUserData)->mStreams;
    auto found = streams.find(aId);
    return found == streams.end() ? nullptr : found->second;
  }

  // Copies queued bytes of a stream into a DATA frame of the session.
  static ssize_t ReadData(nghttp2_session*,
                          std::int32_t aId,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aUserData)
  {
    auto stream = FindStream(aUserData, aId);
    if (!stream) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    std::size_t size = std::min(aLength, stream->UnsentBytes());
    if (size == 0 && !stream->mFinished) {
      stream->mDataDeferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(aBuffer, stream->mOutput.data() + stream->mOutputStart, size);
    stream->mOutputStart += size;
    if (stream->mOutputStart == stream->mOutput.size()) {
      stream->mOutput.clear();
      stream->mOutputStart = 0;
      if (stream->mFinished) {
        *aFlags |= NGHTTP2_DATA_FLAG_EOF;
      }
    }
    if (size > 0 && stream->mOnBytesSent) {
      Defer(Self(aUserData)->mLoop, [stream] {
        if (stream->IsOpen() && stream->mOnBytesSent) {
          auto bytesSent = stream->mOnBytesSent;
          bytesSent();
        }
      });
    }
    return static_cast<ssize_t>(size);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* aFrame,
                            void* aUserData)
  {
    auto* self = Self(aUserData);
    if (aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      auto stream = std::make_shared<InnerStream>();
      stream->mConnection = self;
      stream->mId = aFrame->hd.stream_id;
      stream->mPeerAddress = self->mPeerAddress;
      self->mStreams[stream->mId] = stream;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameLength,
                      const std::uint8_t* aValue,
                      std::size_t aValueLength,
                      std::uint8_t,
                      void* aUserData)
  {
    std::string_view name(reinterpret_cast<const char*>(aName), aNameLength);
    auto stream = FindStream(aUserData, aFrame->hd.stream_id);
    if (stream && name == ":path") {
      stream->mPath.assign(reinterpret_cast<const char*>(aValue), aValueLength);
    }
    return 0;
  }

  // Opens the sending direction of a stream that the peer opened, and reports
  // the stream.
  static void SubmitResponse(nghttp2_session* aSession,
                             InnerConnection* aSelf,
                             const std::shared_ptr<InnerStream>& aStream)
  {
    std::string status = "200";
    nghttp2_nv fields[] = { MakeHeaderField(":status", status) };
    nghttp2_data_provider provider{ { 0 }, &ReadData };
    nghttp2_submit_response(aSession, aStream->mId, fields, 1, &provider);
    if (aSelf->mOnStream) {
      aSelf->mOnStream(aStream);
    }
  }

  static int OnFrameReceived(nghttp2_session* aSession,
                             const nghttp2_frame* aFrame,
                             void* aUserData)
  {
    auto stream = FindStream(aUserData, aFrame->hd.stream_id);
    if (!stream) {
      return 0;
    }
    if (aFrame->hd.type == NGHTTP2_HEADERS &&
        aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      SubmitResponse(aSession, Self(aUserData), stream);
    }
    if (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) {
      stream->mPeerFinished = true;
    }
    return 0;
  }

  static int OnDataReceived(nghttp2_session* aSession,
                            std::uint8_t,
                            std::int32_t aId,
                            const std::uint8_t* aData,
                            std::size_t aLength,
                            void* aUserData)
  {
    nghttp2_session_consume_connection(aSession, aLength);
    auto stream = FindStream(aUserData, aId);
    if (!stream || stream->mMalformed) {
      return 0;
    }
    auto frames = ReadFrames(stream->mReader,
                             { reinterpret_cast<const char*>(aData), aLength });
    if (!frames) {
      // The following frame boundaries are unknown, so the stream is reset.
      stream->mMalformed = true;
      nghttp2_submit_rst_stream(
        aSession, NGHTTP2_FLAG_NONE, aId, NGHTTP2_PROTOCOL_ERROR);
      return 0;
    }
    if (!stream->mAutomaticCreditDisabled) {
      nghttp2_session_consume_stream(aSession, aId, aLength);
    }
    for (const auto& frame : *frames) {
      auto handler = stream->mOnFrame;
      if (handler && stream->IsOpen()) {
        handler(frame);
      }
    }
    return 0;
  }

  static int OnStreamClosed(nghttp2_session*,
                            std::int32_t aId,
                            std::uint32_t aError,
                            void* aUserData)
  {
    Self(aUserData)->CloseStream(aId, aError == NGHTTP2_NO_ERROR);
    return 0;
  }
};

void
InnerStream::Send(FrameType aType, std::string_view aPayload)
{
  if (!mConnection || mFinished) {
    return;
  }
  if (mOutputStart > mOutput.size() / 2) {
    mOutput.erase(0, mOutputStart);
    mOutputStart = 0;
  }
  // The queue grows by a quarter instead of doubling, to save memory: an agent
  // holds one for each slow caller.
  std::size_t needed = mOutput.size() + aPayload.size() + kFrameOverheadBytes;
  if (needed > mOutput.capacity()) {
    mOutput.reserve(needed + needed / 4);
  }
  // A payload that exceeds the frame size is split. Only bodies are that long.
  do {
    mOutput += EncodeFrame(aType, aPayload.substr(0, kMaxFrameBytes));
    aPayload.remove_prefix(std::min(aPayload.size(), kMaxFrameBytes));
  } while (!aPayload.empty());
  if (mDataDeferred) {
    mDataDeferred = false;
    nghttp2_session_resume_data(mConnection->mSession, mId);
  }
  mConnection->ScheduleFlush();
}

void
InnerStream::Finish()
{
  if (!mConnection || mFinished) {
    return;
  }
  mFinished = true;
  if (mDataDeferred) {
    mDataDeferred = false;
    nghttp2_session_resume_data(mConnection->mSession, mId);
  }
  mConnection->ScheduleFlush();
}

void
InnerStream::Cancel()
{
  if (!mConnection) {
    return;
  }
  InnerConnection* connection = mConnection;
  nghttp2_submit_rst_stream(
    connection->mSession, NGHTTP2_FLAG_NONE, mId, NGHTTP2_CANCEL);
  connection->ScheduleFlush();
  mOnFrame = {};
  mOnClosed = {};
  mOnBytesSent = {};
  auto keep = shared_from_this();
  connection->mStreams.erase(mId);
  mConnection = nullptr;
}

void
InnerStream::Consume(std::size_t aBytes)
{
  if (mConnection && mAutomaticCreditDisabled) {
    nghttp2_session_consume_stream(mConnection->mSession, mId, aBytes);
    mConnection->ScheduleFlush();
  }
}

InnerConnection::InnerConnection(EventLoop& aLoop, bool aIsServer)
  : mLoop(aLoop)
  , mIsServer(aIsServer)
{
}

InnerConnection::~InnerConnection()
{
  Close();
}

std::shared_ptr<InnerConnection>
InnerConnection::Connect(EventLoop& aLoop, const Endpoint& aPeer)
{
  std::shared_ptr<InnerConnection> connection(
    new InnerConnection(aLoop, false));
  connection->mPeerAddress = ToString(aPeer);
  bufferevent* buffer =
    bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  connection->AttachSocket(buffer);
  auto address = ParseSocketAddress(aPeer.mAddress, aPeer.mPort);
  if (!address ||
      bufferevent_socket_connect(
        buffer, reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0) {
    Defer(aLoop, [connection] { connection->Close(); });
    return connection;
  }
  int on = 1;
  setsockopt(
    bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

std::shared_ptr<InnerConnection>
InnerConnection::Accept(EventLoop& aLoop, int aSocket, std::string aPeerAddress)
{
  std::shared_ptr<InnerConnection> connection(new InnerConnection(aLoop, true));
  connection->mPeerAddress = std::move(aPeerAddress);
  connection->mConnected = true;
  int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connection->AttachSocket(
    bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
  connection->ScheduleFlush();
  return connection;
}

void
InnerConnection::AttachSocket(bufferevent* aBuffer)
{
  // 1. The HTTP/2 session, with manual window updates.
  mBuffer = aBuffer;
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, &InnerCallbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   &InnerCallbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, &InnerCallbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks, &InnerCallbacks::OnDataReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, &InnerCallbacks::OnStreamClosed);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_auto_window_update(options, 1);
  if (mIsServer) {
    nghttp2_session_server_new2(&mSession, callbacks, this, options);
  } else {
    nghttp2_session_client_new2(&mSession, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_settings_entry settings[] = {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes },
  };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings, 2);
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);

  // 2. The socket.
  bufferevent_setcb(
    aBuffer,
    [](bufferevent*, void* aSelf) {
      static_cast<InnerConnection*>(aSelf)->Receive();
    },
    [](bufferevent*, void* aSelf) {
      static_cast<InnerConnection*>(aSelf)->Flush();
    },
    [](bufferevent*, short aWhat, void* aSelf) {
      auto* self = static_cast<InnerConnection*>(aSelf);
      if (aWhat & BEV_EVENT_CONNECTED) {
        self->mConnected = true;
        self->Flush();
        if (self->mOnConnected) {
          self->mOnConnected();
        }
        return;
      }
      self->Close();
    },
    this);
  bufferevent_enable(aBuffer, EV_READ | EV_WRITE);
}

std::shared_ptr<InnerStream>
InnerConnection::Open(const std::string& aPath)
{
  if (!mSession) {
    return nullptr;
  }
  std::string method = "POST";
  std::string scheme = "http";
  std::string authority = "savory";
  nghttp2_nv fields[] = { MakeHeaderField(":method", method),
                          MakeHeaderField(":scheme", scheme),
                          MakeHeaderField(":authority", authority),
                          MakeHeaderField(":path", aPath) };
  nghttp2_data_provider provider{ { 0 }, &InnerCallbacks::ReadData };
  int id =
    nghttp2_submit_request(mSession, nullptr, fields, 4, &provider, nullptr);
  if (id < 0) {
    return nullptr;
  }
  auto stream = std::make_shared<InnerStream>();
  stream->mConnection = this;
  stream->mId = id;
  stream->mPath = aPath;
  stream->mPeerAddress = mPeerAddress;
  mStreams[id] = stream;
  ScheduleFlush();
  return stream;
}

void
InnerConnection::Receive()
{
  auto keep = weak_from_this().lock();
  evbuffer* input = bufferevent_get_input(mBuffer);
  std::size_t length = evbuffer_get_length(input);
  if (length == 0 || !mSession) {
    return;
  }
  std::string bytes(length, '\0');
  evbuffer_remove(input, bytes.data(), length);
  mReceiving = true;
  ssize_t consumed = nghttp2_session_mem_recv(
    mSession, reinterpret_cast<std::uint8_t*>(bytes.data()), length);
  mReceiving = false;
  if (consumed < 0) {
    Close();
    return;
  }
  Flush();
}

// Writes frames until the socket's buffer holds at least
// kMaxSocketBufferBytes.
void
InnerConnection::Flush()
{
  mFlushScheduled = false;
  if (!mSession || mReceiving || !mConnected) {
    return;
  }
  evbuffer* output = bufferevent_get_output(mBuffer);
  while (evbuffer_get_length(output) < kMaxSocketBufferBytes) {
    const std::uint8_t* bytes = nullptr;
    ssize_t length = nghttp2_session_mem_send(mSession, &bytes);
    if (length <= 0) {
      break;
    }
    evbuffer_add(output, bytes, static_cast<std::size_t>(length));
  }
  if (!nghttp2_session_want_read(mSession) &&
      !nghttp2_session_want_write(mSession) &&
      evbuffer_get_length(output) == 0) {
    Close();
  }
}

// Flushes after the callbacks that are due now, so that their frames share a
// write.
void
InnerConnection::ScheduleFlush()
{
  if (mFlushScheduled) {
    return;
  }
  mFlushScheduled = true;
  Defer(mLoop, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Flush();
    }
  });
}

void
InnerConnection::CloseStream(int aId, bool aClean)
{
  auto found = mStreams.find(aId);
  if (found == mStreams.end()) {
    return;
  }
  auto stream = found->second;
  mStreams.erase(found);
  stream->mConnection = nullptr;
  auto closed = stream->mOnClosed;
  bool complete = aClean && stream->mPeerFinished && !stream->mMalformed;
  stream->mOnFrame = {};
  stream->mOnBytesSent = {};
  stream->mOnClosed = {};
  if (closed) {
    closed(complete);
  }
}

void
InnerConnection::Close()
{
  if (!mSession) {
    return;
  }
  auto keep = weak_from_this().lock();
  nghttp2_session* session = std::exchange(mSession, nullptr);
  mConnected = false;
  while (!mStreams.empty()) {
    CloseStream(mStreams.begin()->first, false);
  }
  bufferevent* buffer = std::exchange(mBuffer, nullptr);
  bufferevent_setcb(buffer, nullptr, nullptr, nullptr, nullptr);
  // Both are freed in a deferred call, because a callback of either may be
  // running now.
  Defer(mLoop, [session, buffer] {
    nghttp2_session_del(session);
    bufferevent_free(buffer);
  });
  auto closed = mOnClosed;
  mOnClosed = {};
  if (closed) {
    closed();
  }
}

InnerListener::InnerListener(
  EventLoop& aLoop,
  sigc::slot<void(std::shared_ptr<InnerStream>)> aOnStream)
  : mLoop(aLoop)
  , mOnStream(std::move(aOnStream))
{
}

InnerListener::~InnerListener()
{
  if (mListener) {
    evconnlistener_free(mListener);
  }
  for (auto& [raw, connection] : mConnections) {
    connection->mOnClosed = {};
    connection->Close();
  }
}

int
InnerListener::Listen(const std::string& aAddress, int aPort)
{
  mListener = ListenOn(
    mLoop,
    aAddress,
    aPort,
    [](evconnlistener*,
       evutil_socket_t aSocket,
       sockaddr* aPeer,
       int,
       void* aSelf) {
      auto* self = static_cast<InnerListener*>(aSelf);
      auto connection =
        InnerConnection::Accept(self->mLoop, aSocket, FormatPeerAddress(aPeer));
      connection->mOnStream = self->mOnStream;
      auto* raw = connection.get();
      connection->mOnClosed = [self, raw] { self->mConnections.erase(raw); };
      self->mConnections[raw] = connection;
    },
    this);
  return mListener ? LocalPort(evconnlistener_get_fd(mListener)) : 0;
}

} // namespace savory

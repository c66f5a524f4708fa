#pragma once

#include "savory/core/wire.h"
#include "savory/net/http_client.h"
#include "savory/net/loop.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;
struct nghttp2_session;

namespace savory {

class InnerConnection;

// One stream between two processes of the system, with frames in both
// directions. Member functions have no effect once the stream is closed.
class InnerStream : public std::enable_shared_from_this<InnerStream>
{
public:
  void Send(FrameType aType, std::string_view aPayload);
  // Ends the sending side once all queued bytes are sent (END_STREAM).
  void Finish();
  // Resets the stream in both directions; no callback runs afterwards.
  void Cancel();
  // Bytes that are queued until the peer's flow-control window admits them.
  std::size_t UnsentBytes() const { return mOutput.size() - mOutputStart; }
  // Returns flow-control credit to the peer for bytes that were processed. Has
  // an effect only after DisableAutomaticCredit.
  void Consume(std::size_t aBytes);
  // Returns credit only through Consume, so that the reader limits the rate of
  // the peer.
  void DisableAutomaticCredit() { mAutomaticCreditDisabled = true; }
  bool IsOpen() const { return mConnection != nullptr; }

  const std::string& Path() const { return mPath; }
  const std::string& PeerAddress() const { return mPeerAddress; }

  sigc::slot<void(const Frame&)> mOnFrame;
  // Called when queued bytes were handed to the session, for senders that limit
  // UnsentBytes.
  sigc::slot<void()> mOnBytesSent;
  // Called once when the stream is closed; true if both sides finished.
  sigc::slot<void(bool)> mOnClosed;

private:
  friend class InnerConnection;
  friend struct InnerCallbacks;

  InnerConnection* mConnection = nullptr;
  int mId = 0;
  std::string mPath;
  std::string mPeerAddress;
  std::string mOutput;
  std::size_t mOutputStart = 0;
  bool mFinished = false;
  bool mDataDeferred = false;
  bool mAutomaticCreditDisabled = false;
  bool mPeerFinished = false;
  bool mMalformed = false;
  FrameReader mReader;
};

// A connection with many streams, in the role of client or server (HTTP/2 with
// prior knowledge).
class InnerConnection : public std::enable_shared_from_this<InnerConnection>
{
public:
  // Connects to a peer. Streams may be opened at once; their frames are queued
  // until the connection is established.
  static std::shared_ptr<InnerConnection> Connect(EventLoop& aLoop,
                                                  const Endpoint& aPeer);
  // Takes over a socket that a listener accepted, in the role of server.
  static std::shared_ptr<InnerConnection> Accept(EventLoop& aLoop,
                                                 int aSocket,
                                                 std::string aPeerAddress);
  ~InnerConnection();
  InnerConnection(const InnerConnection&) = delete;
  InnerConnection& operator=(const InnerConnection&) = delete;

  // Opens a stream. Returns null if the connection is closed or the session
  // refuses the stream.
  std::shared_ptr<InnerStream> Open(const std::string& aPath);
  // Closes the connection and all its streams.
  void Close();
  bool IsOpen() const { return mSession != nullptr; }
  std::size_t StreamCount() const { return mStreams.size(); }

  // Called for each stream that the peer opens, before its first frame.
  sigc::slot<void(std::shared_ptr<InnerStream>)> mOnStream;
  sigc::slot<void()> mOnConnected;
  // Called once when the connection is closed, after its streams.
  sigc::slot<void()> mOnClosed;

private:
  friend class InnerStream;
  friend struct InnerCallbacks;

  InnerConnection(EventLoop& aLoop, bool aIsServer);
  void AttachSocket(bufferevent* aBuffer);
  void Receive();
  void Flush();
  void ScheduleFlush();
  void CloseStream(int aId, bool aClean);

  EventLoop& mLoop;
  bool mIsServer;
  bool mConnected = false;
  bool mReceiving = false;
  bool mFlushScheduled = false;
  std::string mPeerAddress;
  bufferevent* mBuffer = nullptr;
  nghttp2_session* mSession = nullptr;
  std::map<int, std::shared_ptr<InnerStream>> mStreams;
};

// Accepts inner connections on one address. Port 0 lets the kernel choose a
// port.
class InnerListener
{
public:
  InnerListener(EventLoop& aLoop,
                sigc::slot<void(std::shared_ptr<InnerStream>)> aOnStream);
  ~InnerListener();
  InnerListener(const InnerListener&) = delete;
  InnerListener& operator=(const InnerListener&) = delete;

  // Starts to listen; returns the port, or 0 if the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);

private:
  EventLoop& mLoop;
  sigc::slot<void(std::shared_ptr<InnerStream>)> mOnStream;
  evconnlistener* mListener = nullptr;
  std::map<InnerConnection*, std::shared_ptr<InnerConnection>> mConnections;
};

} // namespace savory

#pragma once

#include "savory/net/loop.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace savory {

// Converts an IPv4 address and a port for socket calls. Returns nothing if the
// text is not an IPv4 address.
std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aAddress, int aPort);

// Formats the IPv4 address of a peer, without the port.
std::string
FormatPeerAddress(const sockaddr* aPeer);

// Returns the local port to which a socket is bound.
int
LocalPort(evutil_socket_t aSocket);

// Makes the close of a connection reset it: bytes that have not arrived are
// withdrawn, and the peer sees no regular end.
void
ResetOnClose(evutil_socket_t aSocket);

// Whether the peer reset a connection whose input has ended and that this side
// has not ended. After a failed write, or if the reset followed the end,
// reading reports an end as well.
bool
IsResetByPeer(evutil_socket_t aSocket);

// Creates a listener; port 0 lets the kernel choose a port. Returns null if the
// address cannot be used. The listener is owned by whoever calls this.
evconnlistener*
ListenOn(EventLoop& aLoop,
         const std::string& aAddress,
         int aPort,
         evconnlistener_cb aAccept,
         void* aSelf);

} // namespace savory

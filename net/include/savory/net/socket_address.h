#pragma once

#include "savory/net/loop.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace savory {

// The address for socket calls. Nothing when the text is no address of IP
// version 4.
std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aAddress, int aPort);

// The text of a peer's address of IP version 4, without the port.
std::string
FormatPeerAddress(const sockaddr* aPeer);

// The port to which a socket is bound.
int
LocalPort(evutil_socket_t aSocket);

// Accepts connections; port 0 lets the kernel choose. Null when the address
// cannot be used. The caller frees the listener.
evconnlistener*
ListenOn(EventLoop& aLoop,
         const std::string& aAddress,
         int aPort,
         evconnlistener_cb aAccept,
         void* aSelf);

} // namespace savory

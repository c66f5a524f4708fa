#pragma once

#include "savory/core/config.h"
#include "savory/core/wire.h"
#include "savory/net/http_client.h"
#include "savory/net/loop.h"
#include "settings.h"

#include <memory>
#include <random>
#include <sigc++/sigc++.h>

namespace savory {

// State that entry and agent processes share: settings, event loop, the
// configuration in force and the identity towards other processes.
struct Node
{
  explicit Node(Settings aSettings);

  Settings mSettings;
  EventLoop mLoop;
  HttpClient mHttp;
  // Wall-clock milliseconds at the start; a later process on the same host has
  // a greater number.
  std::int64_t mIncarnation;
  std::mt19937_64 mRandom;
  // Null until the process has a configuration.
  std::shared_ptr<const Configuration> mConfig;
  sigc::signal<void()> mConfigChanged;
  bool mDraining = false;
};

// The sender field of each message to another process.
Sender
MakeSender(const Node& aNode);

// Puts a configuration in force when its revision is newer than the present
// one. Returns whether it did.
bool
ApplyConfiguration(Node& aNode, Configuration aConfig);

// Parses a document of the store or another process and applies it likewise. A
// document with an error is logged and refused as a whole.
bool
ApplyConfigDocument(Node& aNode,
                    const nlohmann::json& aDocument,
                    const std::string& aSource);

// Sixteen random hexadecimal digits.
std::string
MakeRandomId(Node& aNode);

} // namespace savory

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

// What both roles of a process have: its settings, its loop, the configuration
// in force and its identity towards the other processes.
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

// The identity that each message to another process carries.
Sender
MakeSender(const Node& aNode);

// Puts a configuration in force when its revision is newer than the present
// one. Returns whether it did.
bool
ApplyConfiguration(Node& aNode, Configuration aConfig);

// The same for a document as another process or the store gave it; a document
// with a fault is logged and refused whole.
bool
ApplyConfigDocument(Node& aNode,
                    const nlohmann::json& aDocument,
                    const std::string& aSource);

// Sixteen random hexadecimal digits.
std::string
MakeRandomId(Node& aNode);

} // namespace savory

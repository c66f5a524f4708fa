#include "node.h"

#include "savory/net/log.h"

#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace savory {

Node::Node(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mHttp(mLoop)
  , mIncarnation(WallClockMs())
  , mRandom(std::random_device()())
{
}

Sender
MakeSender(const Node& aNode)
{
  return { .mHost = aNode.mSettings.mHost,
           .mIncarnation = aNode.mIncarnation,
           .mRevision = aNode.mConfig ? aNode.mConfig->mRevision : 0 };
}

bool
ApplyConfiguration(Node& aNode, Configuration aConfig)
{
  if (aNode.mConfig && aConfig.mRevision <= aNode.mConfig->mRevision) {
    return false;
  }
  aNode.mConfig = std::make_shared<const Configuration>(std::move(aConfig));
  LogEvent(Event::ConfigAdopted,
           { { "revision", std::to_string(aNode.mConfig->mRevision) },
             { "preset", aNode.mConfig->mPresetInForce } });
  aNode.mConfigChanged.emit();
  return true;
}

bool
ApplyConfigDocument(Node& aNode,
                    const nlohmann::json& aDocument,
                    const std::string& aSource)
{
  auto config = ParseConfiguration(aDocument);
  if (!config) {
    for (const auto& error : config.error()) {
      LogEvent(Event::ConfigRefused,
               { { "source", aSource },
                 { "path", error.mPath },
                 { "reason", error.mReason } });
    }
    return false;
  }
  return ApplyConfiguration(aNode, std::move(*config));
}

std::string
MakeRandomId(Node& aNode)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016" PRIx64, aNode.mRandom());
  return text;
}

} // namespace savory

// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "nlohmann/json.hpp"

namespace sumac::daemon {
namespace {

const nlohmann::json& ValidSettings() {
  static const nlohmann::json kValidSettings = nlohmann::json::parse(R"({
    "label": "c1", "data_centre": "dc-1", "role": "controller", "ip": "10.0.0.1",
    "peer_port": 7060, "seeds": ["10.0.0.1:8623", "10.0.0.2:8623"], "tolerated_losses": 2,
    "data_folder": "data", "control_door": "10.0.0.1:8623"})");
  return kValidSettings;
}

// The error for the good settings after a JSON patch; empty when they are
// accepted.
std::string ErrorAfter(const std::string& patch) {
  const std::string path = testing::TempDir() + "/node-settings-test.json";
  std::ofstream(path) << ValidSettings().patch(nlohmann::json::parse(patch));
  const auto settings = NodeSettings::Load(path);
  std::filesystem::remove(path);
  return settings.ok()
             ? ""
             : std::string(settings.status().message()).substr(path.size() + 2);
}

TEST(NodeSettingsTest, ProcessesAreNamedByTheirAddress) {
  const std::string path = testing::TempDir() + "/node-settings-good.json";
  std::ofstream(path) << ValidSettings();
  EXPECT_TRUE(IsNodeSettingsFile(path));
  const auto settings = NodeSettings::Load(path);
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->process().value(), "10.0.0.1:7060");
  EXPECT_EQ(settings->SeedProcesses()[1].value(), "10.0.0.2:7060");
  EXPECT_EQ(settings->wanted_voters(), 5U);
  std::filesystem::remove(path);
}

TEST(NodeSettingsTest, EachErrorNamesTheKey) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"([{"op":"remove","path":"/ip"}])",
       "/ip: found nothing, allowed: a value is required"},
      {R"([{"op":"replace","path":"/seeds","value":[]}])",
       "/seeds: found none, allowed: at least one controller's address"},
      {R"([{"op":"remove","path":"/data_folder"}])",
       "/data_folder: found \"\", allowed: a folder, since this process is a "
       "controller"},
      {R"([{"op":"replace","path":"/peer_port","value":0}])",
       "/peer_port: found 0, allowed: a whole number from 1 to 65535"},
      {R"([{"op":"replace","path":"/role","value":"entry"}])",
       "/health_door: found \"\", allowed: IP:PORT, since this process is an "
       "entry"}};
  for (const auto& [patch, error] : cases) {
    EXPECT_EQ(ErrorAfter(patch), error) << patch;
  }
  EXPECT_NE(ErrorAfter(R"([{"op":"add","path":"/unknown","value":1}])"), "");
  EXPECT_EQ(ErrorAfter("[]"), "");
}

}  // namespace
}  // namespace sumac::daemon

// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "libraries/base/error.h"
#include "nlohmann/json.hpp"

namespace sumac::daemon {
namespace {

const nlohmann::json& ValidSettings() {
  static const nlohmann::json kValidSettings = nlohmann::json::parse(R"({
    "process": "e1",
    "listen": {"callers": "127.0.0.1:8080", "targets": "127.0.0.1:8081",
               "operators": "127.0.0.1:9090"},
    "processes": [{"name": "e1", "data_centre": "dc-1", "roles": ["entry", "controller"],
                   "peer_address": "127.0.0.1:9091"}],
    "data_folder": "data"})");
  return kValidSettings;
}

// The error for the good settings after a JSON patch; empty when they are
// accepted.
std::string ErrorAfter(const std::string& patch, ResultCode* code = nullptr) {
  const std::string path = testing::TempDir() + "/settings-test.json";
  std::ofstream(path) << ValidSettings().patch(nlohmann::json::parse(patch));
  const auto settings = Settings::Load(path);
  std::filesystem::remove(path);
  if (code != nullptr) {
    *code = settings.ok() ? ResultCode::kOk : CodeOf(settings.status());
  }
  return settings.ok()
             ? ""
             : std::string(settings.status().message()).substr(path.size() + 2);
}

TEST(SettingsTest, ValidSettingsAreAccepted) {
  EXPECT_EQ(ErrorAfter("[]"), "");
}

TEST(SettingsTest, EachErrorNamesTheKey) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"([{"op":"remove","path":"/process"}])",
       "/process: found nothing, allowed: a value is required"},
      {R"([{"op":"replace","path":"/process","value":"e9"}])",
       "/process: found \"e9\", allowed: a name listed in /processes"},
      {R"([{"op":"replace","path":"/listen/callers","value":"localhost:80"}])",
       "/listen/callers: found \"localhost:80\", allowed: IP:PORT by number"},
      {R"([{"op":"replace","path":"/listen/callers","value":"127.0.0.1:70000"}])",
       "/listen/callers: found \"127.0.0.1:70000\", allowed: IP:PORT by "
       "number"},
      {R"([{"op":"replace","path":"/processes/0/roles","value":["king"]}])",
       "/processes/0/roles/0: found \"king\", allowed: one of entry "
       "controller"},
      {R"([{"op":"replace","path":"/processes/0/roles","value":["entry"]}])",
       "/processes: found \"0 controllers\", allowed: an odd number"},
      {R"([{"op":"remove","path":"/data_folder"}])",
       "/data_folder: found \"\", allowed: a folder, since this process is a "
       "controller"},
      {R"([{"op":"add","path":"/group","value":{"heartbeat_ms":300}}])",
       "/group/election_timeout_ms: found \"800\", allowed: at least three "
       "times heartbeat_ms"},
      {R"([{"op":"add","path":"/doors","value":{"idle_ms":"5"}}])",
       "/doors/idle_ms: found \"5\", allowed: a whole number from 100 to "
       "3.6e+06"},
      {R"([{"op":"add","path":"/log","value":{"level":"loud"}}])",
       "/log/level: found \"loud\", allowed: debug, info, warning or error"},
  };
  for (const auto& [patch, error] : cases) {
    EXPECT_EQ(ErrorAfter(patch), error);
  }
}

TEST(SettingsTest, UnknownKeysHaveTheirOwnCode) {
  ResultCode code = ResultCode::kOk;
  EXPECT_EQ(
      ErrorAfter(R"([{"op":"add","path":"/listen/callrs","value":1}])", &code),
      "/listen/callrs: unknown key");
  EXPECT_EQ(code, ResultCode::kSettingsUnknownKey);
}

TEST(SettingsTest, ExampleSettingsAreValid) {
  for (const char* name : {"suva-e1.json", "leselicht-e1.json"}) {
    const auto settings =
        Settings::Load(std::string(SUMAC_SOURCE_DIR) + "/settings/" + name);
    EXPECT_TRUE(settings.ok()) << settings.status();
  }
}

}  // namespace
}  // namespace sumac::daemon

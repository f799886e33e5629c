// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/node_settings.h"

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_file.h"
#include "libraries/codec/json_reader.h"

namespace sumac::daemon {
namespace {

constexpr ReaderCodes kSettingsCodes{ResultCode::kSettingsInvalid,
                                     ResultCode::kSettingsUnknownKey};

absl::Status Require(const std::string& path,
                     std::string_view key,
                     const std::string& value,
                     std::string_view reason) {
  if (!value.empty()) {
    return absl::OkStatus();
  }
  return MakeError(ResultCode::kSettingsInvalid,
                   StrCat(path, ": ", key, ": found \"\", allowed: ", reason));
}

absl::Status CheckSettings(const std::string& path,
                           const NodeSettings& settings) {
  TRY(Require(path, "/ip", settings.ip, "a numeric IP address"));
  if (settings.seeds.empty()) {
    return MakeError(ResultCode::kSettingsInvalid,
                     StrCat(path,
                            ": /seeds: found none, allowed: at least "
                            "one controller's address"));
  }
  if (settings.is_controller()) {
    TRY(Require(path, "/data_folder", settings.data_folder,
                "a folder, since this process is a controller"));
    return Require(path, "/control_door", settings.control_door,
                   "IP:PORT, since this process is a controller");
  }
  TRY(Require(path, "/health_door", settings.health_door,
              "IP:PORT, since this process is an entry"));
  return Require(path, "/caller_door", settings.caller_door,
                 "IP:PORT, since this process is an entry");
}

}  // namespace

ProcessName NodeSettings::process() const {
  return ProcessName(StrCat(this->ip, ":", this->peer_port));
}

std::vector<ProcessName> NodeSettings::SeedProcesses() const {
  std::vector<ProcessName> processes;
  for (const std::string& seed : this->seeds) {
    processes.emplace_back(
        StrCat(seed.substr(0, seed.rfind(':')), ":", this->peer_port));
  }
  return processes;
}

absl::StatusOr<NodeSettings> NodeSettings::Load(const std::string& path) {
  const nlohmann::json json = TRY(ReadJsonFile(path));
  NodeSettings settings = TRY(
      FromJson<NodeSettings>(json, path, UnknownKeys::kRefuse, kSettingsCodes));
  TRY(CheckSettings(path, settings));
  return settings;
}

bool IsNodeSettingsFile(const std::string& path) {
  const absl::StatusOr<nlohmann::json> json = ReadJsonFile(path);
  return json.ok() && json->is_object() && json->contains("seeds");
}

}  // namespace sumac::daemon

// SPDX-License-Identifier: Apache-2.0
#include "services/sumacd/settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <algorithm>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/base/verify.h"
#include "libraries/codec/json_file.h"
#include "libraries/codec/json_reader.h"

namespace sumac::daemon {
namespace {

constexpr ReaderCodes kSettingsCodes{ResultCode::kSettingsInvalid,
                                     ResultCode::kSettingsUnknownKey};

absl::Status Invalid(const std::string& path,
                     std::string_view key,
                     std::string_view found,
                     std::string_view allowed) {
  return MakeError(
      ResultCode::kSettingsInvalid,
      StrCat(path, ": ", key, ": found \"", found, "\", allowed: ", allowed));
}

absl::Status CheckAddress(const std::string& path,
                          std::string_view key,
                          const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint32_t port = 0;
  Poco::Net::IPAddress ip;
  const bool is_good =
      colon != std::string::npos &&
      ParseNumber(std::string_view(address).substr(colon + 1), &port) &&
      port >= 1 && port <= 65'535 &&
      Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip);
  return is_good
             ? absl::OkStatus()
             : Invalid(path, key, address, "IP:PORT with a numeric IP address");
}

absl::Status CheckProcesses(const std::string& path, const Settings& settings) {
  std::set<ProcessName> names;
  std::set<std::string> addresses;
  for (std::size_t position = 0; position < settings.processes.size();
       ++position) {
    const ProcessSettings& process = settings.processes[position];
    const std::string key = StrCat("/processes/", position);
    if (process.name.value().empty() ||
        process.name.value().find_first_of("./ ") != std::string::npos) {
      return Invalid(path, key + "/name", process.name.value(),
                     "letters, digits and dashes");
    }
    if (!names.insert(process.name).second) {
      return Invalid(path, key + "/name", process.name.value(),
                     "each name once");
    }
    TRY(CheckAddress(path, key + "/peer_address", process.peer_address));
    if (!addresses.insert(process.peer_address).second) {
      return Invalid(path, key + "/peer_address", process.peer_address,
                     "each address once");
    }
    if (process.roles.empty()) {
      return Invalid(path, key + "/roles", "[]", "entry, controller or both");
    }
  }
  if (!names.contains(settings.process)) {
    return Invalid(path, "/process", settings.process.value(),
                   "a name listed in /processes");
  }
  const std::size_t controllers = settings.Controllers().size();
  if (controllers % 2 == 0) {
    return Invalid(path, "/processes", StrCat(controllers, " controllers"),
                   "an odd number");
  }
  return absl::OkStatus();
}

absl::Status CheckSettings(const std::string& path, const Settings& settings) {
  TRY(CheckProcesses(path, settings));
  TRY(CheckAddress(path, "/listen/callers", settings.listen.callers));
  TRY(CheckAddress(path, "/listen/targets", settings.listen.targets));
  TRY(CheckAddress(path, "/listen/operators", settings.listen.operators));
  if (!settings.platform_address.empty()) {
    TRY(CheckAddress(path, "/platform_address", settings.platform_address));
  }
  if (settings.has_role(ProcessRole::kController) &&
      settings.data_folder.empty()) {
    return Invalid(path, "/data_folder", "",
                   "a folder, since this process is a controller");
  }
  if (settings.group.election_timeout < 3 * settings.group.heartbeat) {
    return Invalid(path, "/group/election_timeout_ms",
                   StrCat(settings.group.election_timeout.count()),
                   "at least three times heartbeat_ms");
  }
  const std::set<std::string> levels = {"debug", "info", "warning", "error"};
  if (!levels.contains(settings.log.level)) {
    return Invalid(path, "/log/level", settings.log.level,
                   "debug, info, warning or error");
  }
  return absl::OkStatus();
}

}  // namespace

const ProcessSettings& Settings::self() const {
  const auto row = std::find_if(this->processes.begin(), this->processes.end(),
                                [this](const ProcessSettings& process) {
                                  return process.name == this->process;
                                });
  VERIFY(row != this->processes.end());
  return *row;
}

std::vector<ProcessSettings> Settings::Controllers() const {
  std::vector<ProcessSettings> controllers;
  std::copy_if(this->processes.begin(), this->processes.end(),
               std::back_inserter(controllers), [](const ProcessSettings& row) {
                 return row.roles.contains(ProcessRole::kController);
               });
  return controllers;
}

std::uint32_t Settings::CountEntries() const {
  return static_cast<std::uint32_t>(
      std::count_if(this->processes.begin(), this->processes.end(),
                    [](const ProcessSettings& row) {
                      return row.roles.contains(ProcessRole::kEntry);
                    }));
}

absl::StatusOr<Settings> Settings::Load(const std::string& path) {
  const nlohmann::json json = TRY(ReadJsonFile(path));
  Settings settings =
      TRY(FromJson<Settings>(json, path, UnknownKeys::kRefuse, kSettingsCodes));
  TRY(CheckSettings(path, settings));
  return settings;
}

}  // namespace sumac::daemon

/// The templates of entry/ as the daemon uses them: the platform over HTTP and the system clock.
#ifndef WIGEONLANE_DAEMON_NODE_TYPES_H_
#define WIGEONLANE_DAEMON_NODE_TYPES_H_

#include "core/clock.h"
#include "entry/control_service.h"
#include "entry/log_follower.h"
#include "entry/planner_loop.h"
#include "platform/http_instance_list.h"
#include "platform/http_log_service.h"

namespace wigeonlane {

using NodeFollower = LogFollower<HttpLogService, SteadyClock>;
using NodeControl = ControlService<HttpLogService, SteadyClock>;
using NodePlanner = PlannerLoop<HttpLogService, HttpInstanceList, SteadyClock>;

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_NODE_TYPES_H_

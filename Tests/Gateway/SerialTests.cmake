# Tests that measure a process with a small part of a core, and run while no other test does.
set_tests_properties(
  "GatewayTests:Requests are served while one gateway gets most new connections"
  PROPERTIES RUN_SERIAL TRUE)

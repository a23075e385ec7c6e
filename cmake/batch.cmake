# Targets of this area.
dogwood_library(job SOURCES job_append.cc job_cmd.cc job_dispatch.cc
                job_owner.cc job_query.cc job_record.cc LIBS dogwood_core)
dogwood_test(job dogwood_job)
dogwood_library(admission SOURCES admission_base.cc)
dogwood_test(admission dogwood_admission)

# Targets of this area.
dogwood_library(job SOURCES job_append.cc job_cmd.cc job_dispatch.cc
                job_owner.cc job_query.cc job_record.cc LIBS dogwood_core)
dogwood_test(job dogwood_job)
dogwood_library(admission SOURCES admission_base.cc)
dogwood_test(admission dogwood_admission)
dogwood_library(batchd_lib
                SOURCES batchd_base.cc batchd_dispatch.cc batchd_execute.cc
                        batchd_http.cc batchd_job.cc batchd_partition.cc
                        batchd_run.cc batchd_serve.cc batchd_setting.cc
                        batchd_stream.cc batchd_table.cc batchd_watch.cc
                LIBS dogwood_admission dogwood_job dogwood_platform
                     dogwood_proxy dogwood_replica dogwood_setting)
dogwood_binary(dogwood_batchd SOURCES src/batchd_main.cc
               LIBS dogwood_batchd_lib dogwood_daemon)
dogwood_test(batchd dogwood_batchd_lib)
